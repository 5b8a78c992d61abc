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
	errRecordsDeleted  = errors.New("records at this offset were deleted")
	errOffsetMismatch  = errors.New("end offset does not match the condition")
	errMalformedRecord = errors.New("record is truncated or has no key")
)

// partition is a partition of a topic: a log of records.
type partition struct {
	isKeyed bool
	// firstOffset is the offset of records[0]; older records have been deleted.
	firstOffset int64
	records     [][]byte
	// newestByKey is filled for keyed topics only. It outlives deleted records.
	newestByKey map[string]keyedValue
	// appended is closed and replaced when records are appended or deleted.
	appended chan struct{}
}

// keyedValue is the newest value of a key and the offset of its record.
type keyedValue struct {
	value  []byte
	offset int64
}

// endOffset returns the offset that the next record will get.
func (p *partition) endOffset() int64 { return p.firstOffset + int64(len(p.records)) }

// logs holds all partitions, by topic and partition name.
type logs struct {
	mu         sync.Mutex
	partitions map[string]*partition
	// era rises each time that the logs go back to an older state.
	era int64
	// history holds everything that was appended in this era or kept from the one
	// before, so that an older state can be restored.
	history []historyEntry
}

// historyEntry is a record with the time at which it was appended.
type historyEntry struct {
	topic, part string
	record      []byte
	at          time.Time
}

// keyedPrefix begins the names of the topics that keep the newest value of each key.
const keyedPrefix = "keyed."

// getOrCreatePartition must be called with l.mu locked.
func (l *logs) getOrCreatePartition(topic, part string) *partition {
	name := topic + "/" + part
	p, ok := l.partitions[name]
	if !ok {
		p = &partition{
			isKeyed:     len(topic) > len(keyedPrefix) && topic[:len(keyedPrefix)] == keyedPrefix,
			newestByKey: map[string]keyedValue{}, appended: make(chan struct{}),
		}
		l.partitions[name] = p
	}
	return p
}

// splitRecords splits a body into records, each preceded by its length as a
// big-endian 32-bit integer.
func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errMalformedRecord
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, errMalformedRecord
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, nil
}

// appendRecords appends all records or none. It fails if expectedEnd is not negative
// and differs from the end offset. A keyed record begins with the length of its key in
// one byte and the key; an empty value deletes the key.
func (l *logs) appendRecords(topic, part string, records [][]byte, expectedEnd int64) (offset, end int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.getOrCreatePartition(topic, part)
	if expectedEnd >= 0 && expectedEnd != p.endOffset() {
		return 0, p.endOffset(), errOffsetMismatch
	}
	if p.isKeyed {
		for _, r := range records {
			if len(r) == 0 || int(r[0]) > len(r)-1 {
				return 0, p.endOffset(), errMalformedRecord
			}
		}
	}
	offset = p.endOffset()
	for _, r := range records {
		p.append(r)
		l.history = append(l.history, historyEntry{topic: topic, part: part, record: r, at: time.Now()})
	}
	p.wakeReaders()
	return offset, p.endOffset(), nil
}

// append adds a valid record.
func (p *partition) append(r []byte) {
	if p.isKeyed {
		key, value := string(r[1:1+r[0]]), r[1+r[0]:]
		p.newestByKey[key] = keyedValue{value: value, offset: p.endOffset()}
		if len(value) == 0 {
			delete(p.newestByKey, key)
		}
	}
	p.records = append(p.records, r)
}

func (p *partition) wakeReaders() {
	close(p.appended)
	p.appended = make(chan struct{})
}

// revert restores the state of the given time and raises the era. Offsets from then
// on are given out again. Records that deleteRecords deleted are there again.
func (l *logs) revert(to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := 0
	for kept < len(l.history) && !l.history[kept].at.After(to) {
		kept++
	}
	l.history = l.history[:kept:kept]
	previous := l.partitions
	l.partitions = map[string]*partition{}
	for _, e := range l.history {
		l.getOrCreatePartition(e.topic, e.part).append(e.record)
	}
	l.era++
	for _, p := range previous {
		p.wakeReaders()
	}
}

func (l *logs) currentEra() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// readRecords returns the end offset, the first offset still held and the records from
// an offset on. If there are none, it waits for the first one, at most for wait.
func (l *logs) readRecords(ctx context.Context, topic, part string, from int64, wait time.Duration) (end, first int64, records [][]byte, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		p := l.getOrCreatePartition(topic, part)
		end, first = p.endOffset(), p.firstOffset
		if from < first || from > end {
			l.mu.Unlock()
			return end, first, nil, errRecordsDeleted
		}
		if from < end {
			records = append(records, p.records[from-first:]...)
		}
		appended := p.appended
		l.mu.Unlock()
		if len(records) > 0 {
			return end, first, records, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return end, first, nil, nil
		case <-ctx.Done():
			return end, first, nil, ctx.Err()
		}
	}
}

// deleteRecords deletes the records of all partitions and keeps the newest values of
// keys.
func (l *logs) deleteRecords() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.partitions {
		p.firstOffset, p.records = p.endOffset(), nil
		p.wakeReaders()
	}
}
