package gate

import "time"

// waiter is a request that waits for a slot.
type waiter struct {
	ask     Ask
	granted chan *Slot
	refused chan struct{}
	// left means that the waiter is no longer counted: it was granted or
	// refused, or its caller went away.
	left bool
}

// queue serves customers in turn, so that one with many requests does not
// delay the others by more than one request each.
type queue struct {
	byCustomer map[string][]*waiter
	turns      []string
	length     int
}

func (q *queue) push(w *waiter) {
	if q.byCustomer == nil {
		q.byCustomer = map[string][]*waiter{}
	}
	c := w.ask.Customer
	if len(q.byCustomer[c]) == 0 {
		q.turns = append(q.turns, c)
	}
	q.byCustomer[c] = append(q.byCustomer[c], w)
	q.length++
}

// leave stops counting a waiter, whose place in the list is dropped later.
func (q *queue) leave(w *waiter) {
	if !w.left {
		w.left = true
		q.length--
	}
}

// pop returns the next waiter that accept allows and that can still be served
// in time.
func (q *queue) pop(now time.Time, accept func(Ask) bool) *waiter {
	for i := 0; i < len(q.turns); i++ {
		c := q.turns[i]
		w, passedOver := q.popFrom(c, now, accept)
		if w == nil && passedOver {
			continue
		}
		q.turns = append(q.turns[:i], q.turns[i+1:]...)
		if len(q.byCustomer[c]) > 0 {
			q.turns = append(q.turns, c)
		} else {
			delete(q.byCustomer, c)
		}
		if w != nil {
			return w
		}
		i--
	}
	return nil
}

// popFrom takes the first servable waiter of a customer. passedOver reports
// that some remain which accept does not allow now.
func (q *queue) popFrom(c string, now time.Time, accept func(Ask) bool) (w *waiter, passedOver bool) {
	list := q.byCustomer[c]
	for len(list) > 0 {
		head := list[0]
		isWaiting := !head.left && now.Before(head.ask.Deadline)
		if isWaiting && !accept(head.ask) {
			q.byCustomer[c] = list
			return nil, true
		}
		list = list[1:]
		q.leave(head)
		if isWaiting {
			q.byCustomer[c] = list
			return head, false
		}
	}
	q.byCustomer[c] = nil
	return nil, false
}

// drain empties the queue and returns who waited.
func (q *queue) drain() []*waiter {
	var all []*waiter
	for _, list := range q.byCustomer {
		for _, w := range list {
			if !w.left {
				w.left = true
				all = append(all, w)
			}
		}
	}
	*q = queue{}
	return all
}
