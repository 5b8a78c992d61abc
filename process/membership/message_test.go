package membership

import (
	"testing"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/matryer/is"
)

// Each node starts a comparison every second, so the message that compares equal
// views must stay small. The budget for control traffic is 3 KB a second.
func TestComparisonIsSmall(t *testing.T) {
	is := is.New(t)
	var b []byte
	m := Message{Sender: "10.100.100.100:12345", Digest: 1 << 63, ConfigurationVersion: 1 << 40}
	is.NoErr(codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).Encode(m))
	is.True(len(b) <= 64)
}
