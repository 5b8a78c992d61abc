package membership_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// changeInterval is the time between two changes, after which readers wait for the next.
const changeInterval = 500 * time.Millisecond

// Bytes that cross the border between two regions for one change of a route, for each node,
// and the time until all nodes have it. It runs in real time.
func BenchmarkChangeAcrossRegions(b *testing.B) {
	for _, routes := range []int{20, 1400, 28000} {
		for _, nodes := range []int{20, 80, 300} {
			b.Run(fmt.Sprintf("routes=%d/nodes=%d", routes, nodes), func(b *testing.B) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				m := newModel(ctx, b, wideLink, encodeRoutes(1, routes), nodes/2, nodes/2)
				m.awaitVersion(1)
				time.Sleep(4 * time.Second) // until nodes that are no readers have stopped reading
				version, before := uint64(1), m.bytesBetweenRegions()
				encoded := encodeRoutes(2, routes)
				var took time.Duration
				for b.Loop() {
					version++
					time.Sleep(changeInterval)
					publishedAt := time.Now()
					m.publish(encoded)
					m.awaitVersion(version)
					took += time.Since(publishedAt)
					encoded = encodeRoutes(version+1, routes)
				}
				changes := float64(version - 1)
				b.ReportMetric(float64(m.bytesBetweenRegions()-before)/changes/float64(nodes), "B/node")
				b.ReportMetric(float64(len(encoded)), "whole-B")
				b.ReportMetric(float64(took.Milliseconds())/changes, "ms/change")
			})
		}
	}
}

// bytesBetweenRegions returns the bytes that have crossed a border between regions.
func (m *model) bytesBetweenRegions() (total int64) {
	for pair, l := range m.links {
		if pair[0] != pair[1] {
			total += l.Total()
		}
	}
	return total
}

// awaitVersion waits until all nodes have a version.
func (m *model) awaitVersion(version uint64) {
	for _, n := range m.nodes {
		for n.version() < version {
			time.Sleep(time.Millisecond)
		}
	}
}
