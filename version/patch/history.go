package patch

import "slices"

const (
	// maxPatches and maxHistoryBytes limit a History.
	maxPatches      = 64
	maxHistoryBytes = 128 << 10
)

// History holds the patches of the last changes, each leading to the form from which the
// next one leads on. It is immutable; the zero value is empty.
type History struct{ patches []Patch }

// With returns a History that ends with a patch. Earlier patches that do not lead to it, or
// for which there is no room, are dropped.
func (h History) With(p Patch) History {
	kept := h.patches
	if n := len(kept); n > 0 && kept[n-1].To != p.From {
		kept = nil
	}
	kept = append(slices.Clone(kept), p)
	size := 0
	for i, k := range slices.Backward(kept) {
		size += k.Size()
		if size > maxHistoryBytes || len(kept)-i > maxPatches {
			return History{patches: kept[i+1:]}
		}
	}
	return History{patches: kept}
}

// From returns the patches that lead from the form with a digest to the newest one, in
// their order, or nil if the form is not known.
func (h History) From(digest uint64) []Patch {
	for i, p := range h.patches {
		if p.From == digest {
			return h.patches[i:]
		}
	}
	return nil
}

// LeadsTo reports whether the newest form has the digest.
func (h History) LeadsTo(digest uint64) bool {
	n := len(h.patches)
	return n > 0 && h.patches[n-1].To == digest
}

// Apply applies patches in their order. Errors wrap ErrMismatch.
func Apply(from []byte, patches []Patch) ([]byte, error) {
	for _, p := range patches {
		next, err := p.Apply(from)
		if err != nil {
			return nil, err
		}
		from = next
	}
	return from, nil
}
