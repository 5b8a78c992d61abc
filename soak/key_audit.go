package soak

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// applyTime is how long nodes in touch may use a configuration after its replacement has
// been stored.
const applyTime = 3 * time.Second

// publication is a configuration with customers that was published.
type publication struct {
	// begunAt is when the first write to the store began, storedAt when one succeeded; zero
	// if none did.
	begunAt, storedAt time.Time
	customers         []configuration.DraftCustomer
}

func (p publication) hasKey(key string) bool {
	return slices.ContainsFunc(p.customers, func(c configuration.DraftCustomer) bool { return slices.Contains(c.Keys, key) })
}

// interval is the time of a fault. The end is zero until the fault has ended.
type interval struct{ start, end time.Time }

// reaches reports whether the fault affects the time, or ended less than spreadTime before.
func (i interval) reaches(at time.Time) bool {
	return !i.start.After(at) && (i.end.IsZero() || at.Sub(i.end) <= spreadTime)
}

// history is what the audits of keys and quotas know of a run.
type history struct {
	publications []publication
	// nodeFaults are the faults that put each node out of touch, storeFaults those that
	// delay configurations at all nodes.
	nodeFaults  [][]interval
	storeFaults []interval
}

// isInTouch reports whether the node had no fault in the spreadTime before the time.
func (h history) isInTouch(node int, at time.Time) bool {
	return !slices.ContainsFunc(h.nodeFaults[node], func(i interval) bool { return i.reaches(at) })
}

// inForce returns the publications that nodes in touch may use between two times. A
// replacement is complete applyTime after it has been stored or, if a fault of the store
// interferes, spreadTime after the end of that.
func (h history) inForce(from, to time.Time) (list []publication) {
	for i, p := range h.publications {
		if p.begunAt.After(to) {
			break
		}
		isReplaced := slices.ContainsFunc(h.publications[i+1:], func(later publication) bool { return h.isComplete(later, from) })
		if !isReplaced {
			list = append(list, p)
		}
	}
	return list
}

// isComplete reports whether all nodes in touch use the publication, or a later one, at the
// time.
func (h history) isComplete(p publication, at time.Time) bool {
	due := p.storedAt.Add(applyTime)
	return !p.storedAt.IsZero() && at.After(due) && !slices.ContainsFunc(h.storeFaults, func(i interval) bool {
		return i.reaches(at) && i.start.Before(due) && (i.end.IsZero() || i.end.After(p.storedAt))
	})
}

// run is a run of a request with a customer at the target of a node.
type run struct {
	node int
	at   time.Time
	id   string
}

// parseRuns returns the runs in the record of a node's target.
func parseRuns(node int, executions map[string]int) (runs []run) {
	for line := range executions {
		text, ok := strings.CutPrefix(line, target.RunPrefix)
		at, id, isPair := strings.Cut(text, ":")
		millis, err := strconv.ParseInt(at, 10, 64)
		if ok && isPair && err == nil {
			runs = append(runs, run{node, time.UnixMilli(millis), id})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return runs
}

// countKeyViolations returns how many requests ran with a key that no configuration in
// force had, and how many got 401 with a key that all of them had. It judges only what
// nodes in touch did. nodeOf returns the node of an entry's address.
func (h history) countKeyViolations(attempts []caller.Attempt, runs []run, nodeOf map[string]int) (ran, unauthorized int) {
	byID := map[string]caller.Attempt{}
	for _, a := range attempts {
		byID[a.ID] = a
		if !a.IsUnauthorized || !h.isInTouch(nodeOf[a.Entry], a.EndedAt) {
			continue
		}
		list := h.inForce(a.SentAt, a.EndedAt)
		if !slices.ContainsFunc(list, func(p publication) bool { return !p.hasKey(a.Key) }) {
			unauthorized++
		}
	}
	for _, r := range runs {
		a, ok := byID[r.id]
		if !ok || !h.isInTouch(nodeOf[a.Entry], r.at) || !h.isInTouch(r.node, r.at) {
			continue
		}
		if !slices.ContainsFunc(h.inForce(r.at, r.at), func(p publication) bool { return p.hasKey(a.Key) }) {
			ran++
		}
	}
	return ran, unauthorized
}

// checkCustomers records a violation for requests that ran with a removed key, for keys in
// force that were refused, and for customers that exceeded their quota.
func (f *fleet) checkCustomers(attempts []caller.Attempt) error {
	if !hasCustomers(f.options.Seed) {
		return nil
	}
	var runs []run
	nodeOf := map[string]int{}
	for i := range f.options.Nodes {
		executions, err := caller.ReadExecutions([]string{f.executionFile(i)})
		if err != nil {
			return err
		}
		runs = append(runs, parseRuns(i, executions)...)
		nodeOf[f.address(i, portEntry)] = i
	}
	f.mu.Lock()
	h := f.history
	f.mu.Unlock()
	ran, unauthorized := h.countKeyViolations(attempts, runs, nodeOf)
	if ran > 0 {
		f.recordViolation("requests with a removed key that ran: %d", ran)
	}
	if unauthorized > 0 {
		f.recordViolation("requests with a key in force that got 401: %d", unauthorized)
	}
	for name, excess := range h.countQuotaExcess(runs) {
		f.recordViolation("requests of customer %s beyond its quota in %v: %d", name, quotaWindow, excess)
	}
	return nil
}
