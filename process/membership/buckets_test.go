package membership

import (
	"context"
	"testing"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// One comparison makes two views equal and transfers no more records than those
// in the buckets that differ.
func TestComparisonSendsWhatDiffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 200
		var all []Record
		for i := range nodes {
			all = append(all, newRecord(i, 1))
		}
		f := &fleet{receivers: map[string]*Receiver{}, unreachable: map[string]bool{}}
		var gossipers [2]*Gossiper
		for i := range gossipers {
			v := NewView(all[i])
			v.Merge(all)
			gossipers[i] = NewGossiper(v, &fakeConfigurations{changed: make(chan struct{})}, quarantine.NewTable(hclog.NewNullLogger()), f, hclog.NewNullLogger())
			f.receivers[all[i].ControlAddress] = NewReceiver(gossipers[i])
		}
		changed := rapid.SliceOfN(rapid.IntRange(2, nodes-1), 1, 5).Draw(t, "changed")
		for _, i := range changed {
			side := rapid.IntRange(0, 1).Draw(t, "side")
			gossipers[side].view.Merge([]Record{newRecord(i, rapid.Int64Range(2, 4).Draw(t, "issue"))})
		}
		c := &countingTransport{fleet: f}
		gossipers[0].transport = c
		gossipers[0].compareWith(context.Background(), all[1])
		if gossipers[0].view.Digest() != gossipers[1].view.Digest() {
			t.Fatal("the views still differ after the comparison")
		}
		if most := len(changed) * 2 * 6 * recordsPerBucket; c.records > most {
			t.Fatalf("%d records were transferred for %d that differed; at most %d are allowed", c.records, len(changed), most)
		}
	})
}

// countingTransport counts the records that are transferred.
type countingTransport struct {
	*fleet
	records int
}

func (c *countingTransport) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.fleet.Call(ctx, address, method, args, reply)
	c.records += len(args.(Message).Records) + len(reply.(*Message).Records)
	return err
}

// A peer may request any buckets. Counts and buckets out of range must yield no
// records, instead of a panic or a large allocation.
func TestBucketsOutOfRangeAreIgnored(t *testing.T) {
	tests := []struct {
		name   string
		wanted []int
		count  int
		want   int
	}{
		{"all", []int{0, 1, 2, 3, 4, 5, 6, 7}, 8, 20},
		{"none", nil, 8, 0},
		{"no count", []int{0}, 0, 0},
		{"negative count", []int{0}, -4, 0},
		{"count above the maximum", []int{0}, maxBuckets + 1, 0},
		{"bucket out of range", []int{-1, 8, 99}, 8, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := NewView(newRecord(0, 1))
			for i := range 20 {
				v.Merge([]Record{newRecord(i, 1)})
			}
			is.Equal(len(v.RecordsInBuckets(tt.wanted, tt.count)), tt.want)
			if tt.count < 1 || tt.count > maxBuckets {
				is.Equal(v.BucketDigests(tt.count), nil)
			}
		})
	}
}

// The number of buckets grows with the records, so that a difference costs little,
// but stays within maxBuckets, which limits the size of the digests.
func TestBucketCountIsBounded(t *testing.T) {
	for _, tt := range []struct{ records, want int }{{1, 8}, {48, 32}, {109, 64}, {6700, 1024}, {54000, 1024}} {
		is := is.New(t)
		is.Equal(bucketCount(tt.records), tt.want)
	}
}
