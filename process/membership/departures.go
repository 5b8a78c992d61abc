package membership

import (
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxDepartures bounds the departures of a record.
const maxDepartures = 4

var errDepartures = errors.New("not a list of at most 4 hashes in base 36, separated by commas")

// FormatDepartures returns hashes of incarnations in the form of Record.Departures.
func FormatDepartures(list []uint64) string {
	parts := make([]string, len(list))
	for i, id := range list {
		parts[i] = strconv.FormatUint(id, 36)
	}
	return strings.Join(parts, ",")
}

// ParseDepartures parses Record.Departures. Each list has one form only, so that equal
// ones have equal digests.
func ParseDepartures(text string) ([]uint64, error) {
	if text == "" {
		return nil, nil
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxDepartures {
		return nil, errDepartures
	}
	var list []uint64
	for _, part := range parts {
		id, err := strconv.ParseUint(part, 36, 64)
		if err != nil || strconv.FormatUint(id, 36) != part {
			return nil, errDepartures
		}
		list = append(list, id)
	}
	return list, nil
}

// uniteDepartures returns the departures of two valid records of a node, those of the
// earlier one first, without the first ones if there are too many.
func uniteDepartures(earlier, later string) string {
	a, _ := ParseDepartures(earlier)
	b, _ := ParseDepartures(later)
	a = slices.DeleteFunc(a, func(id uint64) bool { return slices.Contains(b, id) })
	all := slices.Concat(a, b)
	return FormatDepartures(all[max(0, len(all)-maxDepartures):])
}

// lacksLastDeparture reports whether a record of a node lacks the last departure of an
// older one: the node has restarted and has not been told yet.
func (r Record) lacksLastDeparture(old Record) bool {
	all, _ := ParseDepartures(old.Departures)
	if len(all) == 0 {
		return false
	}
	known, _ := ParseDepartures(r.Departures)
	return !slices.Contains(known, all[len(all)-1])
}

// SetDepartures sets the departures of the node's own record, with a higher incarnation,
// and returns the record.
func (v *View) SetDepartures(departures string) Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Departures != departures {
		v.self.Departures = departures
		v.self.Incarnation++
		v.put(v.self)
	}
	return v.self
}

// WithOwnRecordHandler makes the view call f when a record of the node's own address comes
// from elsewhere, with the departures that the node's own record has now. It must be
// called before the view is shared.
func (v *View) WithOwnRecordHandler(f func(departures string)) *View {
	v.onOwnRecord = f
	return v
}

// forgottenRecord returns the record of a node as it was before the node restarted, if one
// of the records that the node has sent lacks its last departure.
func (v *View) forgottenRecord(sender string, sent []Record) (Record, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old, ok := v.records[sender]
	return old, ok && slices.ContainsFunc(sent, func(r Record) bool {
		return r.ControlAddress == sender && r.lacksLastDeparture(old)
	})
}
