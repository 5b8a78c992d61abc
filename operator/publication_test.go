package operator

import (
	"strings"
	"testing"

	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// The four services of a co-operative of mill laboratories: a printed
// publication is read back as what was written.
func TestPrintIsReadBack(t *testing.T) {
	is := is.New(t)
	p := Publication{}.WithCustomer("mill-a", 50, 100).WithoutService("oldlog")
	for _, name := range []string{"liquorlog", "signbook", "smeltlog", "kilnlog"} {
		p = p.WithService(NewService(name, 24).WithCarefulDetection().WithTimeoutMillis(3000).
			WithRoute("/"+name+"/readings", "GET", "PUT").
			WithNeverRepeat("/"+name+"/signoffs", "POST"))
	}
	var b strings.Builder
	is.NoErr(p.Print(&b))
	change, err := configuration.ParseChange(strings.NewReader(b.String()))
	is.NoErr(err)
	is.Equal(change, p.change)
}

// With methods leave the value that they are called on as it was.
func TestWithLeavesOriginal(t *testing.T) {
	is := is.New(t)
	base := NewService("reparto", 3).WithRoute("/a")
	left := base.WithRoute("/b")
	right := base.WithRoute("/c")
	is.Equal(len(base.service.Routes), 1)
	is.Equal(left.service.Routes[1].PathPrefix, "/b")
	is.Equal(right.service.Routes[1].PathPrefix, "/c")
}

func TestPrintRefusesFaults(t *testing.T) {
	is := is.New(t)
	err := Publication{}.WithService(NewService("reparto", -1)).Print(&strings.Builder{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "services[0].floor_slots"))
	is.True(strings.Contains(err.Error(), "services[0].routes"))
}
