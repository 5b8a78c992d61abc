package operator

import (
	"io"

	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// Publication is an immutable set of services and customers to publish. The
// zero Publication is empty.
type Publication struct {
	change configuration.Change
}

// WithService returns the publication with one more service.
func (p Publication) WithService(s Service) Publication {
	p.change.Services = append(p.change.Services[:len(p.change.Services):len(p.change.Services)], s.service)
	return p
}

// WithoutService returns the publication that also removes a service.
func (p Publication) WithoutService(name string) Publication {
	old := p.change.RemoveServices
	p.change.RemoveServices = append(old[:len(old):len(old)], name)
	return p
}

// WithCustomer returns the publication with the limits of one more customer.
// The rate is in requests a second.
func (p Publication) WithCustomer(name string, rate, burst float64) Publication {
	old := p.change.Customers
	c := configuration.Customer{Name: name, RequestsPerSecond: rate, Burst: burst}
	p.change.Customers = append(old[:len(old):len(old)], c)
	return p
}

// Print checks the publication and writes it. The error lists every fault with
// the path of its field.
func (p Publication) Print(w io.Writer) error {
	if err := p.change.Check(); err != nil {
		return err
	}
	return p.change.Print(w)
}

// Service is an immutable description of a service.
type Service struct {
	service configuration.Service
}

// NewService returns a service that must keep floorSlots of healthy capacity.
func NewService(name string, floorSlots int) Service {
	return Service{configuration.Service{Name: name, FloorSlots: floorSlots}}
}

// WithFastDetection returns the service with the shortest detection time.
func (s Service) WithFastDetection() Service {
	s.service.Detection = configuration.DetectFast
	return s
}

// WithCarefulDetection returns the service with the fewest false ejections.
func (s Service) WithCarefulDetection() Service {
	s.service.Detection = configuration.DetectCareful
	return s
}

// WithTimeoutMillis returns the service with a bound for requests whose caller
// named none.
func (s Service) WithTimeoutMillis(ms int) Service {
	s.service.TimeoutMillis = ms
	return s
}

// WithRoute returns the service with a route for the methods, or for all.
func (s Service) WithRoute(prefix string, methods ...string) Service {
	return s.withRoute(configuration.Route{PathPrefix: prefix, Methods: methods})
}

// WithNeverRepeat returns the service with a route whose requests run at most
// once.
func (s Service) WithNeverRepeat(prefix string, methods ...string) Service {
	return s.withRoute(configuration.Route{PathPrefix: prefix, Methods: methods, NeverRepeat: true})
}

func (s Service) withRoute(r configuration.Route) Service {
	old := s.service.Routes
	s.service.Routes = append(old[:len(old):len(old)], r)
	return s
}
