package entry

import (
	"math"
	"strings"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

// Inquiry describes a request that Explain is asked about.
type Inquiry struct {
	Host string `json:"host"`
	// Path may have a query.
	Path   string `json:"path"`
	Method string `json:"method"`
	// Key is the caller's key. It must not be logged or returned.
	Key            string `json:"key,omitempty"`
	DeadlineMillis int64  `json:"deadline_ms,omitempty"`
	BodyBytes      int64  `json:"body_bytes,omitempty"`
}

// maxInquiryMillis bounds the deadline so that it fits a time.Duration.
const maxInquiryMillis = math.MaxInt32

// Validate returns an error that names the first invalid field and the remedy.
func (q Inquiry) Validate() error {
	switch {
	case q.Host == "" || strings.ContainsAny(q.Host, " /"):
		return errors.New("host: set the host of the request, without scheme and path")
	case !strings.HasPrefix(q.Path, "/"):
		return errors.New("path: set a path that begins with /")
	case q.Method == "" || strings.Trim(q.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
		return errors.New("method: set an HTTP method in upper case, such as GET")
	case strings.ContainsAny(q.Key, "\r\n\x00"):
		return errors.New("key: set a key on a single line")
	case q.DeadlineMillis < 0 || q.DeadlineMillis > maxInquiryMillis:
		return errors.Errorf("deadline_ms: set milliseconds from 1 to %d, or leave it out", maxInquiryMillis)
	case q.BodyBytes < 0:
		return errors.New("body_bytes: set a size of at least 0")
	}
	return nil
}

// Explanation tells what an entry would do with a request.
type Explanation struct {
	ConfigurationVersion uint64               `json:"configuration_version"`
	Route                *ExplainedRoute      `json:"route,omitempty"`
	Customer             *ExplainedCustomer   `json:"customer,omitempty"`
	DeadlineMillis       int64                `json:"deadline_ms,omitempty"`
	Refusal              *ExplainedRefusal    `json:"refusal,omitempty"`
	Scheduling           *ExplainedScheduling `json:"scheduling,omitempty"`
	Services             []ExplainedService   `json:"services,omitempty"`
	// Notes name what the explanation can't tell.
	Notes []string `json:"notes,omitempty"`
}

// ExplainedRoute is the route that matches.
type ExplainedRoute struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	Prefix     string `json:"prefix"`
	Idempotent bool   `json:"idempotent"`
	Public     bool   `json:"public"`
	Balancing  string `json:"balancing"`
}

// ExplainedCustomer is the customer of the key with the tokens that the node holds. The
// tokens are left out if the customer has no quota.
type ExplainedCustomer struct {
	Name              string  `json:"name"`
	Priority          int     `json:"priority"`
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Burst             float64 `json:"burst,omitempty"`
	Tokens            *int    `json:"tokens,omitempty"`
	// HomeReplyAgeMillis is the time since the customer's home last replied; -1 if never.
	HomeReplyAgeMillis *int64 `json:"home_reply_age_ms,omitempty"`
	// RetryMillis is the time until the retry time that the home named last.
	RetryMillis int64 `json:"retry_ms,omitempty"`
}

// ExplainedRefusal is the refusal that the caller would get.
type ExplainedRefusal struct {
	Status     int          `json:"status"`
	Code       outcome.Code `json:"code"`
	Detail     string       `json:"detail"`
	RetryAfter string       `json:"retry_after,omitempty"`
}

// ExplainedScheduling is the state of the refusal policy for the route.
type ExplainedScheduling struct {
	CallersRetry bool  `json:"callers_retry"`
	WorkMillis   int64 `json:"expected_work_ms"`
	Held         int64 `json:"held"`
}

// ExplainedService is one of the services of the route with its gates.
type ExplainedService struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
	// Refusal is what the caller would get if the service has no gate.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// IfNotGranted is what would follow a first round without a grant; only the shared
	// scheduling sets it.
	IfNotGranted string               `json:"if_not_granted,omitempty"`
	Passes       []ExplainedPass      `json:"passes,omitempty"`
	Candidates   []ExplainedCandidate `json:"candidates,omitempty"`
}

// ExplainedPass is the first choice in one pass. Choices are partly random: Gate is the
// one that was chosen most often in repeated choices and Share how often it was. Gate is
// empty if the pass has none.
type ExplainedPass struct {
	Pass        int     `json:"pass"`
	Gate        string  `json:"gate,omitempty"`
	Share       float64 `json:"share,omitempty"`
	QueueMillis int64   `json:"queue_ms"`
}

// ExplainedCandidate is a gate as the entry knows it.
type ExplainedCandidate struct {
	Gate string `json:"gate"`
	Tier string `json:"tier"`
	// Passes are the numbers of the passes in which the gate may be chosen.
	Passes []int `json:"passes"`
	// Cost is the cost of the default balancing, if the gate may be chosen in any pass.
	Cost *float64 `json:"cost,omitempty"`
	// CostMillis are the parts of the cost of even balancing.
	CostMillis *ExplainedCost `json:"cost_ms,omitempty"`
	// StateAgeMillis is the age of the last report; -1 if there is none.
	StateAgeMillis int64 `json:"state_age_ms"`
	Suspected      bool  `json:"suspected"`
	NotAccepting   bool  `json:"not_accepting"`
	Unreachable    bool  `json:"unreachable"`
	Outstanding    int   `json:"outstanding"`
	Slots          int   `json:"slots"`
	Sent           int   `json:"sent"`
}

// ExplainedCost is a balance.Cost in milliseconds.
type ExplainedCost struct {
	Travel float64 `json:"travel"`
	Load   float64 `json:"load"`
	Pace   float64 `json:"pace"`
	Risk   float64 `json:"risk"`
	Total  float64 `json:"total"`
}
