package operator

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// A printed configuration reads back as the same draft: Print omits and changes no
// field.
func TestPrintRoundTrips(t *testing.T) {
	is := is.New(t)
	publication := NewPublication(3)
	for _, name := range []string{"liquorlog", "signbook"} {
		publication = publication.WithService(name).WithRoute(NewRoute("r-"+name, "mill.example", "/"+name+"/", 3*time.Second).
			WithPart(name, 1).WithMaxAttempts(2).WithNeverRepeat())
	}
	publication = publication.WithCustomer(Customer{Name: "acme", Keys: []string{"k"}, Priority: 1, RequestsPerSecond: 2, Burst: 3}).
		WithRoute(NewRoute("up", "mill.example", "/up/", time.Second).WithPart("signbook", 1).WithBulk(configuration.BulkUpload).WithPublic())
	var printed strings.Builder
	is.NoErr(publication.Print(&printed))
	draft, err := configuration.ReadDraft(strings.NewReader(printed.String()))
	is.NoErr(err)
	is.Equal(draft, publication.draft)
}

// With methods do not modify the value that they are called on, and two copies of
// one value do not share the elements that are appended to them.
func TestWithMethodsDoNotModifyReceiver(t *testing.T) {
	is := is.New(t)
	base := NewPublication(1).WithService("a")
	left, right := base.WithService("b"), base.WithService("c")
	is.Equal(len(base.draft.Services), 1)
	is.Equal(left.draft.Services[1].Name, "b")
	is.Equal(right.draft.Services[1].Name, "c")
	keys := []string{"k"}
	customer := NewPublication(1).WithCustomer(Customer{Name: "a", Keys: keys})
	keys[0] = "changed"
	is.Equal(customer.draft.Customers[0].Keys[0], "k")
	route := NewRoute("r", "h", "/", time.Second).WithPart("a", 1)
	extended := route.WithPart("b", 1)
	is.Equal(len(route.route.WeightedServices), 1)
	is.Equal(len(extended.route.WeightedServices), 2)
}

// Print rejects an invalid configuration, and the error names each invalid field.
func TestPrintRejectsInvalidFields(t *testing.T) {
	is := is.New(t)
	err := NewPublication(0).WithService("a").WithRoute(NewRoute("r", "", "x", 0).WithPart("b", -1)).Print(&strings.Builder{})
	is.True(err != nil)
	for _, field := range []string{"version", "routes[0].host", "routes[0].prefix", "routes[0].timeout_ms",
		"routes[0].parts[0].service", "routes[0].parts[0].weight", "routes[0].parts"} {
		is.True(strings.Contains(err.Error(), field+":")) // the error names the invalid field
	}
}
