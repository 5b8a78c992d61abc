package operator

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// A printed publication is read back as what was written.
func TestPrintIsReadBack(t *testing.T) {
	is := is.New(t)
	p := NewPublication(3)
	for _, name := range []string{"liquorlog", "signbook"} {
		p = p.WithService(name).WithRoute(NewRoute("r-"+name, "mill.example", "/"+name+"/", 3*time.Second).
			WithPart(name, 1).WithMaxAttempts(2).WithNeverRepeat())
	}
	var b strings.Builder
	is.NoErr(p.Print(&b))
	d, err := configuration.ReadDraft(strings.NewReader(b.String()))
	is.NoErr(err)
	is.Equal(d, p.draft)
}

// With methods leave the value that they are called on as it was.
func TestWithLeavesOriginal(t *testing.T) {
	is := is.New(t)
	base := NewPublication(1).WithService("a")
	left, right := base.WithService("b"), base.WithService("c")
	is.Equal(len(base.draft.Services), 1)
	is.Equal(left.draft.Services[1].Name, "b")
	is.Equal(right.draft.Services[1].Name, "c")
	route := NewRoute("r", "h", "/", time.Second).WithPart("a", 1)
	wide := route.WithPart("b", 1)
	is.Equal(len(route.route.WeightedServices), 1)
	is.Equal(len(wide.route.WeightedServices), 2)
}

func TestPrintRefusesFaults(t *testing.T) {
	is := is.New(t)
	err := NewPublication(0).WithService("a").WithRoute(NewRoute("r", "", "x", 0).WithPart("b", -1)).Print(&strings.Builder{})
	is.True(err != nil)
	for _, field := range []string{"version", "routes[0].host", "routes[0].prefix", "routes[0].timeout_ms",
		"routes[0].parts[0].service", "routes[0].parts[0].weight", "routes[0].parts"} {
		is.True(strings.Contains(err.Error(), field+":")) // the faulty field is named
	}
}
