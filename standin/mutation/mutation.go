// Package mutation makes odd input for the fuzz tests of decoders. The same samples
// always give the same input, so that a run of the tests without -fuzz tries many odd
// entries and can be repeated.
package mutation

import (
	"bytes"
	"math/rand/v2"
	"strings"
)

// count is the number of mutations of each sample.
const count = 200

// oddValues replace parts of samples, or are inserted into them.
var oddValues = []string{
	"9223372036854775807", "-9223372036854775808", "18446744073709551615", "1e308", "-1", "0", "null", "NaN", "\"\"", "{}", "[]", "\xff\xfe",
	":70000", ":-1", "::", "\x00", "%", ";", "=", ",", strings.Repeat("9", 400), strings.Repeat("[", 500), strings.Repeat(`{"a":`, 200),
	"\xcf\x7f\xff\xff\xff\xff\xff\xff\xff", "\xd3\x80\x00\x00\x00\x00\x00\x00\x00", "\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00", "\xdd\xff\xff\xff\xff",
}

// Of returns the samples and mutations of each.
func Of(samples ...string) [][]byte {
	rng := rand.New(rand.NewPCG(uint64(len(samples)), 40))
	var all [][]byte
	for _, s := range samples {
		all = append(all, []byte(s))
		for range count {
			all = append(all, mutate(rng, []byte(s)))
		}
	}
	return all
}

// mutate returns a copy of b with one to three changes.
func mutate(rng *rand.Rand, b []byte) []byte {
	b = bytes.Clone(b)
	for range 1 + rng.IntN(3) {
		at := rng.IntN(len(b) + 1)
		odd := []byte(oddValues[rng.IntN(len(oddValues))])
		end := at + rng.IntN(len(b)-at+1)
		switch rng.IntN(5) {
		case 0: // cut short
			b = b[:at]
		case 1: // changed byte
			if at < len(b) {
				b[at] = byte(rng.IntN(256))
			}
		case 2: // inserted value
			b = bytes.Join([][]byte{b[:at], odd, b[at:]}, nil)
		case 3: // replaced number or word
			start, stop := wordAround(b, at)
			b = bytes.Join([][]byte{b[:start], odd, b[stop:]}, nil)
		case 4: // repeated part
			b = bytes.Join([][]byte{b[:end], b[at:end], b[end:]}, nil)
		}
	}
	return b
}

// wordAround returns the bounds of the letters and digits around an index.
func wordAround(b []byte, at int) (start, end int) {
	isWord := func(c byte) bool {
		return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '.' || c == '-'
	}
	start, end = at, at
	for start > 0 && isWord(b[start-1]) {
		start--
	}
	for end < len(b) && isWord(b[end]) {
		end++
	}
	return start, end
}
