package customer

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/cuminwheel/cuminwheel/request/field"
)

// Violation describes one invalid field of a definition. It never contains a key.
type Violation struct {
	// Field is the path of the field within the definition, as in keys[1].
	Field string
	// Remedy tells the operator how to correct the field.
	Remedy string
}

// Error is a violation in one definition of a list.
type Error struct {
	Index int
	Violation
}

func (e *Error) Error() string {
	return fmt.Sprintf("customers[%d].%s: %s", e.Index, e.Field, e.Remedy)
}

// Fields of a definition that violations name.
const (
	FieldName              = "name"
	FieldKeys              = "keys"
	FieldPriority          = "priority"
	FieldRequestsPerSecond = "requests_per_second"
	FieldBurst             = "burst"
)

// MaxNameBytes bounds names, because they travel in a header of each request.
const MaxNameBytes = field.MaxNameBytes

// Builder collects the customers of a directory, one at a time.
type Builder struct{ directory Directory }

// NewBuilder returns a builder without customers.
func NewBuilder() *Builder {
	return &Builder{Directory{byKey: map[digest]uint32{}, byName: map[string]uint32{}}}
}

// Add adds a customer with its keys, unless the definition is invalid. It returns every
// violation. A customer may have no keys, and may list a key twice.
func (b *Builder) Add(d Definition) []Violation {
	var violations []Violation
	add := func(path, remedy string, args ...any) {
		violations = append(violations, Violation{Field: path, Remedy: fmt.Sprintf(remedy, args...)})
	}
	b.checkName(d.Name, add)
	if d.Priority < 0 || d.Priority > field.MaxPriority {
		add(FieldPriority, "set a number of at least 0; 0 is the highest priority, %d the lowest", field.MaxPriority)
	}
	if !isQuota(d.RequestsPerSecond) {
		add(FieldRequestsPerSecond, "set a number of at least 0 and at most %g, or omit the field for no quota", float64(field.MaxRate))
	}
	if !isQuota(d.Burst) {
		add(FieldBurst, "set a number of at least 0 and at most %g", float64(field.MaxRate))
	}
	digests := make([]digest, len(d.Keys))
	for i, key := range d.Keys {
		path := fmt.Sprintf("%s[%d]", FieldKeys, i)
		if key == "" {
			add(path, "set the key, or remove the empty one")
			continue
		}
		digests[i] = digestOf(key)
		if owner, ok := b.directory.byKey[digests[i]]; ok {
			add(path, "customer %s has the same key; remove it from one of them", b.directory.customers[owner].Name)
		}
	}
	if len(violations) > 0 {
		return violations
	}
	index := uint32(len(b.directory.customers))
	b.directory.customers = append(b.directory.customers, d.Customer)
	b.directory.byName[d.Name] = index
	for _, key := range digests {
		b.directory.byKey[key] = index
	}
	return nil
}

// checkName calls add if the name cannot be used.
func (b *Builder) checkName(name string, add func(path, remedy string, args ...any)) {
	_, isDuplicate := b.directory.byName[name]
	switch {
	case name == "":
		add(FieldName, "set the name of the customer")
	case isDuplicate:
		add(FieldName, "%s is defined twice; remove one definition", name)
	case len(name) > MaxNameBytes:
		add(FieldName, "use at most %d bytes", MaxNameBytes)
	case strings.ContainsFunc(name, unicode.IsControl) || strings.TrimSpace(name) != name:
		// A target gets the name in a header.
		add(FieldName, "%q must not contain control characters or begin or end with a space", name)
	}
}

// isQuota reports whether a rate or a burst is valid.
func isQuota(v float64) bool { return v >= 0 && v <= field.MaxRate }

// Directory returns the directory of the added customers. The builder must not be used
// afterwards.
func (b *Builder) Directory() Directory {
	if len(b.directory.customers) == 0 {
		return Directory{}
	}
	return b.directory
}
