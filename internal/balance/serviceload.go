package balance

import (
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/feed"
)

// zonedService identifies the upstreams of a service in one data centre.
type zonedService struct{ service, zone string }

// serviceLoad is the mean load that the upstreams of a service in one data centre have
// reported. The zero value means that none has.
type serviceLoad struct {
	utilization    float64 // Running and queued calls, as a fraction of the slots.
	serviceSeconds float64 // The mean time that a call takes.
}

const (
	// serviceLoadWeight is the weight of a new report in the mean load of a service.
	serviceLoadWeight = 0.1
	// maxServiceLoads bounds the services whose load is recorded, over all data centres.
	// When it is reached, all of them are dropped.
	maxServiceLoads = 1 << 16
)

// recordServiceLoad adds the report of a target to the mean load of its service.
func (b *Balancer) recordServiceLoad(t feed.Target, l call.Load) {
	service := zonedService{service: t.Service, zone: t.Zone}
	reported := serviceLoad{
		utilization:    float64(l.Running+l.Queued) / float64(l.Limit),
		serviceSeconds: l.Service.Seconds(),
	}
	if len(b.services) >= maxServiceLoads {
		clear(b.services)
	}
	mean, known := b.services[service]
	if !known {
		mean = reported
	}
	mean.utilization += serviceLoadWeight * (reported.utilization - mean.utilization)
	mean.serviceSeconds += serviceLoadWeight * (reported.serviceSeconds - mean.serviceSeconds)
	b.services[service] = mean
}
