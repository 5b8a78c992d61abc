package table

import (
	"iter"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// shardCount bounds what one change copies to 1/512 of the entries.
const shardCount = 512

// Table is an immutable map from names to values. The zero Table is empty.
type Table[V any] struct {
	shards *[shardCount]map[string]V
	length int
}

// Get returns the value stored under name.
func (t Table[V]) Get(name string) (V, bool) {
	if t.shards == nil {
		var zero V
		return zero, false
	}
	v, ok := t.shards[shardOf(name)][name]
	return v, ok
}

// Len returns the number of entries.
func (t Table[V]) Len() int { return t.length }

// With returns a table that also maps name to v.
func (t Table[V]) With(name string, v V) Table[V] {
	next, shard := t.copyShard(name)
	if _, exists := shard[name]; !exists {
		next.length++
	}
	shard[name] = v
	return next
}

// Without returns a table that lacks name.
func (t Table[V]) Without(name string) Table[V] {
	if _, exists := t.Get(name); !exists {
		return t
	}
	next, shard := t.copyShard(name)
	delete(shard, name)
	next.length--
	return next
}

// All yields the entries in the order of their names.
func (t Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range t.names() {
			v, _ := t.Get(name)
			if !yield(name, v) {
				return
			}
		}
	}
}

func (t Table[V]) names() []string {
	names := make([]string, 0, t.length)
	if t.shards == nil {
		return names
	}
	for _, s := range t.shards {
		for name := range s {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// copyShard returns a table whose shard for name may be written to.
func (t Table[V]) copyShard(name string) (Table[V], map[string]V) {
	shards := new([shardCount]map[string]V)
	if t.shards != nil {
		*shards = *t.shards
	}
	i := shardOf(name)
	fresh := make(map[string]V, len(shards[i])+1)
	for k, v := range shards[i] {
		fresh[k] = v
	}
	shards[i] = fresh
	return Table[V]{shards: shards, length: t.length}, fresh
}

func shardOf(name string) uint64 {
	return xxhash.Sum64String(name) % shardCount
}

// Of returns a table of the given entries. It costs one pass, where With
// copies a shard for each entry.
func Of[V any](entries iter.Seq2[string, V]) Table[V] {
	t := Table[V]{shards: new([shardCount]map[string]V)}
	for name, v := range entries {
		i := shardOf(name)
		if t.shards[i] == nil {
			t.shards[i] = map[string]V{}
		}
		if _, exists := t.shards[i][name]; !exists {
			t.length++
		}
		t.shards[i][name] = v
	}
	return t
}
