package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

// Change is the content of one publish.
type Change struct {
	Services        []Service  `json:"services,omitempty"`
	Customers       []Customer `json:"customers,omitempty"`
	RemoveServices  []string   `json:"remove_services,omitempty"`
	RemoveCustomers []string   `json:"remove_customers,omitempty"`
}

// Code names the kind of a fault for programs.
type Code string

// The codes of faults in a Change.
const (
	CodeSyntax    Code = "syntax"
	CodeMissing   Code = "missing"
	CodeRange     Code = "out_of_range"
	CodeFormat    Code = "bad_format"
	CodeDuplicate Code = "duplicate"
)

// Fault is one thing wrong in a Change.
type Fault struct {
	// Path leads to the field, as in services[2].routes[0].path_prefix.
	Path   string `json:"path"`
	Code   Code   `json:"code"`
	Remedy string `json:"remedy"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Path, f.Code, f.Remedy)
}

// FaultsError reports every fault found in a Change.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// maxNameBytes bounds the names of services and customers.
const maxNameBytes = 64

// Bounds of the numeric fields.
const (
	maxFloorSlots    = 1_000_000
	maxTimeoutMillis = 600_000
	maxClaimSeats    = 256
	maxBodyBytes     = 1 << 30
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// ParseChange reads a Change from JSON and checks it. The error is a
// *FaultsError that lists every fault.
func ParseChange(r io.Reader) (Change, error) {
	var c Change
	raw, err := io.ReadAll(r)
	if err != nil {
		return c, errors.Wrap(err, "read configuration")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, syntaxFault(raw, d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return c, syntaxFault(raw, d.InputOffset(), errors.New("text after the closing brace"))
	}
	return c, c.Check()
}

// Print writes the change as indented JSON with a final newline.
func (c Change) Print(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(c); err != nil {
		return errors.Wrap(err, "print configuration")
	}
	return nil
}

// Check returns a *FaultsError that lists every fault, or nil.
func (c Change) Check() error {
	k := &checker{}
	k.services(c.Services)
	k.customers(c.Customers)
	k.removals("remove_services", c.RemoveServices)
	k.removals("remove_customers", c.RemoveCustomers)
	if len(c.Services)+len(c.Customers)+len(c.RemoveServices)+len(c.RemoveCustomers) == 0 {
		k.add(".", CodeMissing, "name at least one service or customer to put or remove")
	}
	if len(k.faults) == 0 {
		return nil
	}
	return &FaultsError{Faults: k.faults}
}

// syntaxFault names the line of the fault; offset is where reading stood, for
// errors that do not say where they are.
func syntaxFault(raw []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	line := 1 + bytes.Count(raw[:min(int(offset), len(raw))], []byte("\n"))
	return &FaultsError{Faults: []Fault{{
		Path:   fmt.Sprintf("line %d", line),
		Code:   CodeSyntax,
		Remedy: strings.TrimPrefix(err.Error(), "json: "),
	}}}
}

type checker struct {
	faults []Fault
}

func (k *checker) add(path string, code Code, format string, args ...any) {
	k.faults = append(k.faults, Fault{Path: path, Code: code, Remedy: fmt.Sprintf(format, args...)})
}

func (k *checker) services(list []Service) {
	names := map[string]bool{}
	prefixes := map[string]bool{}
	for i, s := range list {
		p := fmt.Sprintf("services[%d]", i)
		k.name(p+".name", s.Name, names)
		k.number(p+".floor_slots", s.FloorSlots, 0, maxFloorSlots)
		k.number(p+".timeout_ms", s.TimeoutMillis, 0, maxTimeoutMillis)
		k.number(p+".claim_seats", s.ClaimSeats, 0, maxClaimSeats)
		k.number(p+".max_body_bytes", int(s.MaxBodyBytes), 0, maxBodyBytes)
		k.detection(p+".detection", s.Detection)
		if len(s.Routes) == 0 {
			k.add(p+".routes", CodeMissing, "give the service at least one route")
		}
		for j, r := range s.Routes {
			k.route(fmt.Sprintf("%s.routes[%d]", p, j), r, prefixes)
		}
	}
}

func (k *checker) route(path string, r Route, seen map[string]bool) {
	if !strings.HasPrefix(r.PathPrefix, "/") || strings.Contains(r.PathPrefix, "//") {
		k.add(path+".path_prefix", CodeFormat, "start with one / and use no empty segment, as in /reparto/turnos")
	}
	if len(r.PathPrefix) > 1 && strings.HasSuffix(r.PathPrefix, "/") {
		k.add(path+".path_prefix", CodeFormat, "leave out the final /")
	}
	if seen[r.PathPrefix] {
		k.add(path+".path_prefix", CodeDuplicate, "%q has a route already; join the two", r.PathPrefix)
	}
	seen[r.PathPrefix] = true
	for i, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) {
			k.add(fmt.Sprintf("%s.methods[%d]", path, i), CodeFormat, "write the HTTP method in capitals, as in POST")
		}
	}
}

func (k *checker) customers(list []Customer) {
	names := map[string]bool{}
	for i, c := range list {
		p := fmt.Sprintf("customers[%d]", i)
		k.name(p+".name", c.Name, names)
		if c.RequestsPerSecond <= 0 {
			k.add(p+".requests_per_second", CodeRange, "give a number above 0")
		}
		if c.Burst < 1 {
			k.add(p+".burst", CodeRange, "give 1 or more")
		}
	}
}

func (k *checker) removals(field string, list []string) {
	names := map[string]bool{}
	for i, n := range list {
		k.name(fmt.Sprintf("%s[%d]", field, i), n, names)
	}
}

func (k *checker) name(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		k.add(path, CodeMissing, "give a name")
	case len(name) > maxNameBytes || !namePattern.MatchString(name):
		k.add(path, CodeFormat, "use up to %d small letters, digits, '.', '_' or '-'", maxNameBytes)
	case seen[name]:
		k.add(path, CodeDuplicate, "%q stands twice; keep one", name)
	}
	seen[name] = true
}

func (k *checker) number(path string, v, low, high int) {
	if v < low || v > high {
		k.add(path, CodeRange, "give a number from %d to %d", low, high)
	}
}

func (k *checker) detection(path string, d Detection) {
	switch d {
	case "", DetectFast, DetectBalanced, DetectCareful:
	default:
		k.add(path, CodeFormat, "use %q, %q or %q", DetectFast, DetectBalanced, DetectCareful)
	}
}
