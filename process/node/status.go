package node

import (
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
)

// Status is what a node knows, for operators.
type Status struct {
	Node roster.Node `json:"node"`
	// Version is the configuration version in force at the node.
	Version int64 `json:"version"`
	// Next is the log offset up to which the node has folded.
	Next     int64                   `json:"next"`
	Ready    bool                    `json:"ready"`
	Services []configuration.Service `json:"services"`
	Seats    []ledger.Seat           `json:"seats"`
	Nodes    []roster.Node           `json:"nodes"`
	// ClaimKeys is how many idempotency keys the node remembers.
	ClaimKeys int `json:"claim_keys"`
}

// StatusArgs asks for a node's status.
type StatusArgs struct {
	// Brief leaves out all but the version.
	Brief bool `codec:"brief"`
}

// StatusReply carries a Status as JSON.
type StatusReply struct {
	Version int64  `codec:"version"`
	Next    int64  `codec:"next"`
	Ready   bool   `codec:"ready"`
	Data    []byte `codec:"data"`
}

// DecisionArgs asks what became of a log record.
type DecisionArgs struct {
	ID string `codec:"id"`
}

// DecisionReply says what became of a log record, if the node has folded it.
type DecisionReply struct {
	Known    bool            `codec:"known"`
	Decision ledger.Decision `codec:"decision"`
}
