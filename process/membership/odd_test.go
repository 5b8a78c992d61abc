package membership

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/cuminwheel/cuminwheel/standin/mutation"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/matryer/is"
)

// A record with a value out of range must not enter a view, whichever way it comes: it would
// count as a node for good. Under the node's own address it must not raise the own
// incarnation: the largest int64 wrapped, and the node's leave was not believed afterwards.
func TestOddRecordsAreRejected(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		change func(*Record)
		field  string
	}{
		{"port above 65535", func(r *Record) { r.GateAddress = "10.0.0.9:70000" }, "gate"},
		{"negative port", func(r *Record) { r.GateAddress = "10.0.0.9:-1" }, "gate"},
		{"no address", func(r *Record) { r.GateAddress = "nowhere" }, "gate"},
		{"no service", func(r *Record) { r.Service = "" }, "service"},
		{"long name", func(r *Record) { r.DataCentre = strings.Repeat("x", 300) }, "data_centre"},
		{"control character", func(r *Record) { r.Region = "r\x00" }, "region"},
		{"largest incarnation", func(r *Record) { r.Incarnation = math.MaxInt64 }, "issue"},
		{"smallest incarnation", func(r *Record) { r.Incarnation = math.MinInt64 }, "issue"},
		{"incarnation far in the future", func(r *Record) { r.Incarnation = now.Add(2 * maxClockSkew).UnixMilli() }, "issue"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			odd := newRecord(9, 5)
			test.change(&odd)
			var e *field.Error
			is.True(errors.As(odd.Validate(now), &e))
			is.Equal(e.Field, test.field)

			v := NewView(newRecord(9, 7))
			before := v.Self()
			is.Equal(len(v.Merge([]Record{odd})), 0)
			is.Equal(v.Self(), before)

			// By gossip, beside a sound record that stays.
			v = NewView(newRecord(1, 7))
			g := NewGossiper(v, &fakeConfigurations{}, quarantine.NewTable(hclog.NewNullLogger()), &fleet{}, hclog.NewNullLogger())
			is.NoErr(NewReceiver(g).Tell(Message{Sender: "10.0.0.2:1", Records: []Record{odd, newRecord(2, 5)}}, &Message{}))
			is.Equal(len(v.Nodes()), 2)
			is.Equal(v.CountOf("s"), 2)
		})
	}
}

// The incarnation of a node must stay in range, so that others believe its record, however
// often a foreign record takes its address.
func TestOwnIncarnationStaysInRange(t *testing.T) {
	is := is.New(t)
	v := NewView(newRecord(1, 7))
	for range 100 {
		foreign := v.Self()
		foreign.Service = "another"
		foreign.Incarnation = max(foreign.Incarnation, time.Now().Add(maxClockSkew-time.Second).UnixMilli())
		v.Merge([]Record{foreign})
		is.Equal(v.Self().Service, "s")
		is.NoErr(v.Self().Validate(time.Now()))
	}
	gone := v.Leave()
	is.NoErr(gone.Validate(time.Now()))
}

// A version or an address that no node can have must not be taken for a newer
// configuration: the node would count as behind for good.
func TestOddVersionsAreIgnored(t *testing.T) {
	is := is.New(t)
	v := NewView(newRecord(1, 7))
	g := NewGossiper(v, &fakeConfigurations{}, quarantine.NewTable(hclog.NewNullLogger()), &fleet{}, hclog.NewNullLogger())
	for _, m := range []Message{
		{Sender: "10.0.0.2:1", ConfigurationVersion: math.MaxUint64}, {Sender: "10.0.0.2:70000", ConfigurationVersion: 5},
		{Sender: "10.0.0.2:1", ConfigurationVersion: 5, ConfigurationHolder: "nowhere"},
	} {
		is.NoErr(NewReceiver(g).Compare(m, &Message{}))
		is.Equal(g.KnownVersion(), uint64(0))
	}
}

// silentTransport fails all calls.
type silentTransport struct{}

func (silentTransport) Call(context.Context, string, string, any, any) error { return errUnreachable }

// Whatever another node sends, all records of the view must stay valid, and the node must
// keep its own address and service.
func FuzzReceiver(f *testing.F) {
	var encoded bytes.Buffer
	err := codec.NewEncoder(&encoded, &codec.MsgpackHandle{}).Encode(Message{
		Sender: "10.0.0.2:1", Digest: 7, ConfigurationVersion: 5, ConfigurationHolder: "10.0.0.3:1", BucketDigests: []uint64{1, 2}, Records: []Record{newRecord(1, 9), newRecord(2, 5)},
		WantedBuckets: []int{0, 1}, BucketCount: 8, EvidenceDigest: 3, Evidence: []quarantine.Record{{Request: 7, Crashes: []uint64{1, 2, 3}, AgeMillis: 5, RemainingMillis: 1000}},
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, b := range mutation.Of(encoded.String()) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if codec.NewDecoderBytes(b, &codec.MsgpackHandle{}).Decode(&m) != nil {
			return
		}
		v := NewView(newRecord(1, 7))
		table := quarantine.NewTable(hclog.NewNullLogger())
		r := NewReceiver(NewGossiper(v, &fakeConfigurations{}, table, silentTransport{}, hclog.NewNullLogger()))
		for _, serve := range []func(Message, *Message) error{r.Tell, r.Compare, r.Fetch} {
			if err := serve(m, &Message{}); err != nil {
				t.Error(err)
			}
		}
		for _, n := range v.All() {
			if err := n.Validate(time.Now()); err != nil {
				t.Errorf("%+v: %v", n, err)
			}
		}
		if self := v.Self(); self.Service != "s" || self.Incarnation < 7 {
			t.Errorf("own record %+v", self)
		}
		for _, e := range table.Records(time.Now()) {
			if e.AgeMillis < 0 || e.RemainingMillis < 0 || e.RemainingMillis > quarantine.Retention.Milliseconds() {
				t.Errorf("%+v", e)
			}
		}
	})
}

// BenchmarkMerge is what a node does with the records of the fleet when it starts: it checks
// and stores each one. One in ten has four departures.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{352, 6700} {
		records := make([]Record, n)
		for i := range records {
			records[i] = newRecord(2, 1_800_000_000_000)
			records[i].ControlAddress = fmt.Sprintf("10.%d.%d.2:7620", i/250, i%250)
			if i%10 == 0 {
				records[i] = withDepartures(records[i], 1<<63, 1<<62, 1<<61, 1<<60)
			}
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if len(NewView(newRecord(1, 1)).Merge(records)) != n {
					b.Fatal("records rejected")
				}
			}
		})
	}
}
