package membership

import (
	"bytes"
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// One comparison makes two rosters equal, and what travels is no more than the
// buckets that differ.
func TestComparisonSendsWhatDiffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 200
		var all []Record
		for i := range nodes {
			all = append(all, record(i, 1))
		}
		f := &fleet{receivers: map[string]*Receiver{}, cut: map[string]bool{}}
		var spreads [2]*Gossiper
		for i := range spreads {
			r := NewView(all[i])
			r.Merge(all)
			spreads[i] = NewGossiper(r, &held{changed: make(chan struct{})}, f, hclog.NewNullLogger())
			f.receivers[all[i].ControlAddress] = NewReceiver(spreads[i])
		}
		changed := rapid.SliceOfN(rapid.IntRange(2, nodes-1), 1, 5).Draw(t, "changed")
		for _, i := range changed {
			side := rapid.IntRange(0, 1).Draw(t, "side")
			spreads[side].roster.Merge([]Record{record(i, rapid.Int64Range(2, 4).Draw(t, "issue"))})
		}
		c := &counting{fleet: f}
		spreads[0].transport = c
		spreads[0].compareWith(context.Background(), all[1])
		if spreads[0].roster.Digest() != spreads[1].roster.Digest() {
			t.Fatal("the rosters differ still")
		}
		if most := len(changed) * 2 * 6 * recordsPerBucket; c.records > most {
			t.Fatalf("%d records travelled for %d that differed; at most %d", c.records, len(changed), most)
		}
	})
}

// counting counts the records that travel.
type counting struct {
	*fleet
	records int
}

func (c *counting) Call(ctx context.Context, address, method string, args, reply any) error {
	err := c.fleet.Call(ctx, address, method, args, reply)
	c.records += len(args.(Message).Records) + len(reply.(*Message).Records)
	return err
}

func TestBucketsOfAPeer(t *testing.T) {
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
		{"count above the bound", []int{0}, maxBuckets + 1, 0},
		{"bucket out of range", []int{-1, 8, 99}, 8, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := NewView(record(0, 1))
			for i := range 20 {
				r.Merge([]Record{record(i, 1)})
			}
			is.Equal(len(r.RecordsInBuckets(test.wanted, test.count)), test.want)
			if test.count < 1 || test.count > maxBuckets {
				is.Equal(r.BucketDigests(test.count), nil)
			}
		})
	}
}

func TestBucketCount(t *testing.T) {
	for _, test := range []struct{ records, want int }{{1, 8}, {48, 32}, {109, 64}, {6700, 1024}, {54000, 1024}} {
		is := is.New(t)
		is.Equal(bucketCount(test.records), test.want)
	}
}

func TestCompression(t *testing.T) {
	is := is.New(t)
	b := bytes.Repeat([]byte(`{"route":"r","service":"s"}`), 1000)
	compressed, err := compress(b)
	is.NoErr(err)
	is.True(len(compressed) < len(b)/10)
	back, err := decompress(compressed)
	is.NoErr(err)
	is.True(bytes.Equal(back, b))
	_, err = decompress([]byte("no compressed bytes"))
	is.True(err != nil)
}

// A comparison of equal rosters is a small message, since each node begins one a
// second; the budget for control is 3 KB a second.
func TestComparisonIsSmall(t *testing.T) {
	is := is.New(t)
	var b []byte
	x := Message{Sender: "10.100.100.100:12345", Digest: 1 << 63, ConfigurationVersion: 1 << 40}
	is.NoErr(codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).Encode(x))
	is.True(len(b) <= 64)
}
