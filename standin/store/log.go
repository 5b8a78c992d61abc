package store

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a partition.
var (
	errForgotten = errors.New("the records have been deleted")
	errMoved     = errors.New("the partition ends at another offset")
	errBadRecord = errors.New("a record is cut short or has no key")
)

// partition is one partition of a topic.
type partition struct {
	keyed   bool
	first   int64
	records [][]byte
	newest  map[string]entry
	// grown is closed when records are added.
	grown chan struct{}
}

// entry is the newest record of a key.
type entry struct {
	value  []byte
	offset int64
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// logs holds all partitions.
type logs struct {
	mu         sync.Mutex
	partitions map[string]*partition
}

const keyedPrefix = "keyed."

func (l *logs) partition(topic, part string) *partition {
	name := topic + "/" + part
	p, ok := l.partitions[name]
	if !ok {
		p = &partition{
			keyed:  len(topic) > len(keyedPrefix) && topic[:len(keyedPrefix)] == keyedPrefix,
			newest: map[string]entry{}, grown: make(chan struct{}),
		}
		l.partitions[name] = p
	}
	return p
}

// split cuts a body into records.
func split(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errBadRecord
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, errBadRecord
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, nil
}

// add appends all records or none. A condition below zero is none.
func (l *logs) add(topic, part string, records [][]byte, condition int64) (offset, end int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(topic, part)
	if condition >= 0 && condition != p.end() {
		return 0, p.end(), errMoved
	}
	if p.keyed {
		for _, r := range records {
			if len(r) == 0 || int(r[0]) > len(r)-1 {
				return 0, p.end(), errBadRecord
			}
		}
	}
	offset = p.end()
	for _, r := range records {
		if p.keyed {
			key, value := string(r[1:1+r[0]]), r[1+r[0]:]
			p.newest[key] = entry{value: value, offset: p.end()}
			if len(value) == 0 {
				delete(p.newest, key)
			}
		}
		p.records = append(p.records, r)
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return offset, p.end(), nil
}

// read returns the end, the first offset held and the records from an offset,
// after waiting for one.
func (l *logs) read(ctx context.Context, topic, part string, from int64, wait time.Duration) (end, first int64, records [][]byte, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		p := l.partition(topic, part)
		end, first = p.end(), p.first
		if from < first {
			l.mu.Unlock()
			return end, first, nil, errForgotten
		}
		if from < end {
			records = append(records, p.records[from-first:]...)
		}
		grown := p.grown
		l.mu.Unlock()
		if len(records) > 0 {
			return end, first, records, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return end, first, nil, nil
		case <-ctx.Done():
			return end, first, nil, ctx.Err()
		}
	}
}

// forget deletes the records of all partitions; newest values stay.
func (l *logs) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.partitions {
		p.first, p.records = p.end(), nil
		close(p.grown)
		p.grown = make(chan struct{})
	}
}
