package patch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// encodeRoutes returns something like an encoded configuration. The same seed gives the same
// routes.
func encodeRoutes(routes, padding int, change func(i int) string) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	b.WriteString(`{"version":"r1","paths":[`)
	for i := range routes {
		pad := make([]byte, padding)
		for j := range pad {
			pad[j] = 'a' + byte(random.IntN(26))
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","prefix":"/%08x/","kind":"safe","timeout":"6000ms","service":"%s","note":"%s"},`,
			random.Uint32(), random.Uint32(), change(i), pad)
	}
	b.WriteString(`null]}`)
	return b.Bytes()
}

func unchanged(int) string { return "s" }

// A patch must lead from one form exactly to the other, and be small if little has changed.
func TestPatchesLeadToTheNewerForm(t *testing.T) {
	tests := []struct {
		name     string
		from, to []byte
		maxBytes int
	}{
		{"nothing before", nil, encodeRoutes(20, 0, unchanged), 2000},
		{"nothing after", encodeRoutes(20, 0, unchanged), nil, 0},
		{"no change", encodeRoutes(20, 0, unchanged), encodeRoutes(20, 0, unchanged), 100},
		{"one of 1,400 routes", encodeRoutes(1400, 0, unchanged), encodeRoutes(1400, 0, func(i int) string {
			if i == 700 {
				return "other"
			}
			return "s"
		}), 200},
		{"a route more at the front", encodeRoutes(1400, 0, unchanged), append([]byte(`{"name":"new"},`), encodeRoutes(1400, 0, unchanged)...), 1000},
		{"a route less", encodeRoutes(1400, 0, unchanged), encodeRoutes(1400, 0, unchanged)[500:], 1000},
		{"one of 28,000 routes of 1 KB", encodeRoutes(28000, 900, unchanged), encodeRoutes(28000, 900, func(i int) string {
			if i == 9000 {
				return "other"
			}
			return "s"
		}), 20000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p, err := Make(test.from, test.to)
			is.NoErr(err)
			to, err := p.Apply(test.from)
			is.NoErr(err)
			is.True(bytes.Equal(to, test.to))
			t.Log(p.Size(), "bytes for", len(test.to))
			is.True(p.Size() <= test.maxBytes)
		})
	}
}

// Guards against a patch that is applied to another form or has odd bytes: it must fail, and
// lead nowhere else.
func FuzzApply(f *testing.F) {
	from, to := encodeRoutes(20, 0, unchanged), encodeRoutes(21, 0, unchanged)
	p, err := Make(from, to)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p.Blocks[0], p.Length, from)
	f.Add([]byte{}, 1<<30, from)
	f.Add(p.Blocks[0], p.Length, []byte("other"))
	f.Fuzz(func(t *testing.T, block []byte, length int, base []byte) {
		q := Patch{From: Digest(base), To: p.To, Length: length, Blocks: [][]byte{block}}
		got, err := q.Apply(base)
		if err == nil && !bytes.Equal(got, to) {
			t.Fatal("a damaged patch leads to another form")
		}
		if err != nil && !errors.Is(err, ErrMismatch) {
			t.Fatal(err)
		}
	})
}

// A history must give the patches from each form that it knows, and none across a gap.
func TestHistory(t *testing.T) {
	is := is.New(t)
	var forms [][]byte
	var h History
	for i := range 70 {
		forms = append(forms, encodeRoutes(20+i, 0, unchanged))
		if i == 0 {
			continue
		}
		p, err := Make(forms[i-1], forms[i])
		is.NoErr(err)
		h = h.With(p)
		is.True(h.LeadsTo(Digest(forms[i])))
	}
	last := len(forms) - 1
	for _, i := range []int{last - 1, last - 30, last - maxPatches} {
		got, err := Apply(forms[i], h.From(Digest(forms[i])))
		is.NoErr(err)
		is.True(bytes.Equal(got, forms[last]))
	}
	is.True(h.From(Digest(forms[last-maxPatches-1])) == nil)
	is.True(h.From(Digest(forms[last])) == nil)
	gap, err := Make([]byte("a"), []byte("b"))
	is.NoErr(err)
	h = h.With(gap)
	is.True(h.From(Digest(forms[last-1])) == nil)
	is.Equal(len(h.From(Digest([]byte("a")))), 1)
}

func BenchmarkMake(b *testing.B) {
	for _, test := range []struct{ routes, padding int }{{20, 0}, {1400, 0}, {28000, 900}} {
		b.Run(fmt.Sprintf("routes=%d", test.routes), func(b *testing.B) {
			from := encodeRoutes(test.routes, test.padding, unchanged)
			to := encodeRoutes(test.routes, test.padding, func(i int) string {
				if i == test.routes/2 {
					return "other"
				}
				return "s"
			})
			var p Patch
			for b.Loop() {
				var err error
				if p, err = Make(from, to); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(p.Size()), "patch-bytes")
			b.ReportMetric(float64(len(to)), "whole-bytes")
		})
	}
}

func BenchmarkApply(b *testing.B) {
	from := encodeRoutes(1400, 0, unchanged)
	p, err := Make(from, append([]byte("x"), from...))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := p.Apply(from); err != nil {
			b.Fatal(err)
		}
	}
}
