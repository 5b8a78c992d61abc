package customer

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a key that finds no customer or that of another, and against a directory
// that mistakes an absent key for a known one.
func TestLookup(t *testing.T) {
	is := is.New(t)
	d, err := NewDirectory([]Definition{
		{Customer{Name: "a", Priority: 2, RequestsPerSecond: 5, Burst: 6}, []string{"k1", "k2", "k1"}},
		{Customer{Name: "b"}, []string{strings.Repeat("long", 100)}},
		{Customer{Name: "keyless"}, nil},
	})
	is.NoErr(err)
	is.Equal(d.Len(), 3)
	tests := []struct{ key, want string }{
		{"k1", "a"}, {"k2", "a"}, {strings.Repeat("long", 100), "b"}, {"k", ""}, {"k11", ""}, {"", ""}, {"K1", ""},
	}
	for _, test := range tests {
		c, ok := d.Lookup(test.key)
		is.Equal(c.Name, test.want)
		is.Equal(ok, test.want != "")
	}
	c, ok := d.Named("a")
	is.True(ok)
	is.Equal(c, Customer{Name: "a", Priority: 2, RequestsPerSecond: 5, Burst: 6})
	_, ok = d.Named("c")
	is.True(!ok)
	_, ok = Directory{}.Lookup("")
	is.True(!ok)
	_, ok = Directory{}.Lookup("k1")
	is.True(!ok)
	_, ok = Directory{}.Named("a")
	is.True(!ok)
	is.Equal(Directory{}.Len(), 0)
}

// An invalid definition must be rejected with an error that names the field, and that
// never reveals a key.
func TestInvalidDefinitions(t *testing.T) {
	tests := []struct {
		name    string
		invalid Definition
		want    string
	}{
		{"empty name", Definition{Customer{}, []string{"secret"}}, "customers[1].name: set"},
		{"duplicate name", Definition{Customer{Name: "a"}, []string{"secret"}}, "customers[1].name: a is defined twice"},
		{"name with a line break", Definition{Customer{Name: "b\r\nX: y"}, []string{"secret"}}, "customers[1].name: "},
		{"name with a space at the end", Definition{Customer{Name: "b "}, []string{"secret"}}, "customers[1].name: "},
		{"long name", Definition{Customer{Name: strings.Repeat("b", MaxNameBytes+1)}, []string{"secret"}}, "customers[1].name: "},
		{"empty key", Definition{Customer{Name: "b"}, []string{"secret", ""}}, "customers[1].keys[1]: set"},
		{"shared key", Definition{Customer{Name: "b"}, []string{"secret", "shared"}}, "customers[1].keys[1]: customer a has"},
		{"negative priority", Definition{Customer{Name: "b", Priority: -1}, []string{"secret"}}, "customers[1].priority: set"},
		{"negative rate", Definition{Customer{Name: "b", RequestsPerSecond: -1}, []string{"secret"}}, "customers[1].requests_per_second: set"},
		{"infinite rate", Definition{Customer{Name: "b", RequestsPerSecond: math.Inf(1)}, []string{"secret"}}, "customers[1].requests_per_second: set"},
		{"rate that is no number", Definition{Customer{Name: "b", RequestsPerSecond: math.NaN()}, []string{"secret"}}, "customers[1].requests_per_second: set"},
		{"negative burst", Definition{Customer{Name: "b", Burst: -1}, []string{"secret"}}, "customers[1].burst: set"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewDirectory([]Definition{{Customer{Name: "a"}, []string{"shared"}}, test.invalid})
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), test.want))
			is.True(!strings.Contains(err.Error(), "secret") && !strings.Contains(err.Error(), "shared"))
		})
	}
}

// customerCounts are the numbers of customers that lookups and memory are measured with.
var customerCounts = []int{10, 10_000, 280_000}

// buildDirectory returns a directory of n customers with one key each.
func buildDirectory(t testing.TB, n int) Directory {
	b := NewBuilder()
	for i := range n {
		d := Definition{Customer{Name: fmt.Sprintf("customer-%06d", i), Priority: i % 3, RequestsPerSecond: 5, Burst: 5}, []string{keyOf(i)}}
		if violations := b.Add(d); len(violations) > 0 {
			t.Fatal(violations)
		}
	}
	return b.Directory()
}

// keyOf returns the key of a customer, as long as typical keys are.
func keyOf(i int) string { return fmt.Sprintf("key-%036d", i) }

// A node with 256 MB holds two directories of 280,000 customers while the configuration
// changes. Together they must leave half of the memory to everything else.
func TestMemoryOfLargeDirectory(t *testing.T) {
	const maxBytes = 64 << 20
	for _, n := range customerCounts {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := buildDirectory(t, n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		t.Logf("%d customers: %.2f MB", n, float64(used)/(1<<20))
		if used > maxBytes {
			t.Errorf("a directory of %d customers uses %d bytes", n, used)
		}
		runtime.KeepAlive(d)
	}
}

// The cost of a lookup must not grow with the number of customers, except for cache misses.
func BenchmarkLookup(b *testing.B) {
	for _, n := range customerCounts {
		d := buildDirectory(b, n)
		keys := make([]string, min(n, 1<<14))
		for i := range keys {
			keys[i] = keyOf(i * (n / len(keys)))
		}
		b.Run(fmt.Sprintf("known/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if _, ok := d.Lookup(keys[i%len(keys)]); !ok {
					b.Fatal("a known key was not found")
				}
			}
		})
		b.Run(fmt.Sprintf("unknown/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, ok := d.Lookup("key-000000000000000000000000000unknown"); ok {
					b.Fatal("an unknown key was found")
				}
			}
		})
	}
}
