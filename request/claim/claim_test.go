package claim

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
)

// keyAt returns a key that was issued at the given time.
func keyAt(t *testing.T, at time.Time) Key {
	t.Helper()
	u := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	k, err := ParseKey(u.String())
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestParseKey(t *testing.T) {
	tests := []struct {
		name, text string
		want       error
	}{
		{"none", "", ErrKeyMissing},
		{"no UUID", "turno-17", ErrKeyFormat},
		{"version 4 holds no time", "9f1c5a3e-6f0b-4c8e-8a3f-1f2d3c4b5a69", ErrKeyFormat},
		{"version 7", "0197b0a5-6c00-7000-8000-000000000001", nil},
		{"version 7 in capitals", "0197B0A5-6C00-7000-8000-000000000001", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseKey(test.text)
			is.Equal(err, test.want)
		})
	}
}

// One key has one form, so that it has one seat however it is written.
func TestKeyIsCanonical(t *testing.T) {
	is := is.New(t)
	a, _ := ParseKey("0197b0a5-6c00-7000-8000-000000000001")
	b, _ := ParseKey("0197B0A5-6C00-7000-8000-000000000001")
	c, _ := ParseKey("urn:uuid:0197b0a5-6c00-7000-8000-000000000001")
	is.Equal(a.String(), b.String())
	is.Equal(a.String(), c.String())
	is.Equal(a.Seat(7), b.Seat(7))
}

func TestAdmits(t *testing.T) {
	now := time.UnixMilli(1_780_000_000_000)
	const bound = 500 * time.Millisecond
	long := now.Add(-time.Hour)
	tests := []struct {
		name   string
		issued time.Time
		since  time.Time
		want   Admission
	}{
		{"fresh", now, long, AdmitRun},
		{"ahead within the bound", now.Add(bound), long, AdmitRun},
		{"too far ahead", now.Add(bound + time.Millisecond), long, AdmitTooEarly},
		{"at the end of the window", now.Add(-Window), long, AdmitRun},
		{"past the window", now.Add(-Window - time.Millisecond), long, AdmitTooOld},
		{"before the tenure", now.Add(-time.Minute), now.Add(-time.Second), AdmitBeforeTenure},
		{"within two bounds of its start", now.Add(-time.Second), now.Add(-2 * time.Second), AdmitBeforeTenure},
		{"after two bounds of its start", now.Add(-time.Second), now.Add(-2*time.Second - time.Millisecond), AdmitRun},
		{"too early, but perhaps run by an earlier holder", now.Add(bound + time.Millisecond), now, AdmitBeforeTenure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Admits(keyAt(t, test.issued), test.since, now, bound), test.want)
		})
	}
}

func TestMemorySteps(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_780_000_000_000)
	m := NewMemory(10, 1<<20)
	k := keyAt(t, now)
	run, step := m.Begin(k, 1, now)
	is.Equal(step, StepRun)
	_, step = m.Begin(k, 1, now)
	is.Equal(step, StepJoin) // in progress
	_, step = m.Begin(k, 2, now)
	is.Equal(step, StepReused) // another request under the same key
	run.Answered(Answer{Status: 200, Body: []byte("ok")})
	run.Unknown() // the first end counts
	again, step := m.Begin(k, 1, now)
	is.Equal(step, StepKept)
	a, ok := again.Answer()
	is.True(ok)
	is.Equal(string(a.Body), "ok")

	lost := keyAt(t, now)
	run, _ = m.Begin(lost, 1, now)
	run.Unknown()
	_, step = m.Begin(lost, 1, now)
	is.Equal(step, StepUnknown) // never a second run

	refused := keyAt(t, now)
	run, _ = m.Begin(refused, 1, now)
	run.NotRun()
	is.True(run.WasNotRun())
	_, step = m.Begin(refused, 1, now)
	is.Equal(step, StepRun) // it certainly did not run
	_, step = m.Recall(keyAt(t, now), 1)
	is.Equal(step, StepUnknown) // Recall begins nothing
}

// The memory holds a key until Admits refuses it for its age, and no longer
// than that plus a margin.
func TestMemoryForgetsOnlyRefusedKeys(t *testing.T) {
	is := is.New(t)
	issued := time.UnixMilli(1_780_000_000_000)
	m := NewMemory(10, 1<<20)
	k := keyAt(t, issued)
	run, _ := m.Begin(k, 1, issued)
	run.Answered(Answer{Status: 200})
	lastUse := issued.Add(Window)
	is.Equal(Admits(k, time.Time{}, lastUse, time.Second), AdmitRun)
	_, step := m.Begin(k, 1, lastUse)
	is.Equal(step, StepKept)
	after := lastUse.Add(2 * forgetMargin)
	is.Equal(Admits(k, time.Time{}, after, time.Second), AdmitTooOld)
	m.Begin(keyAt(t, after), 1, after)
	is.Equal(m.Len(), 1) // only the new key is left
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_780_000_000_000)
	m := NewMemory(2, 4)
	first, _ := m.Begin(keyAt(t, now), 1, now)
	k := keyAt(t, now)
	second, _ := m.Begin(k, 1, now)
	_, step := m.Begin(keyAt(t, now), 1, now)
	is.Equal(step, StepFull)
	first.Answered(Answer{Body: []byte("1234")})
	second.Answered(Answer{Body: []byte("5")}) // over the bound of bytes
	_, step = m.Begin(k, 1, now)
	is.Equal(step, StepUnknown)
}

func FuzzParseKey(f *testing.F) {
	f.Add("0197b0a5-6c00-7000-8000-000000000001")
	f.Add("urn:uuid:0197b0a5-6c00-7000-8000-000000000001")
	f.Add("{0197b0a5-6c00-7000-8000-000000000001}")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err != nil {
			return
		}
		again, err := ParseKey(k.String())
		if err != nil || again != k {
			t.Fatalf("%q gives %v, which gives %v, %v", text, k, again, err)
		}
	})
}
