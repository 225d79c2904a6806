package casekit

import (
	"fmt"
	"slices"
	"time"

	"foxlane/internal/standin"
)

// Scene is a fleet of gateways with their engines and their name service.
type Scene struct {
	Engines  []*standin.Engine
	Names    *standin.NameServer
	Gateways []*Gateway
	Hosts    []standin.Host
}

// Options describes a scene.
type Options struct {
	Deployment Deployment
	Gateways   int
	Engines    int
	Handler    func(engine int, request standin.Request) standin.Reply
}

// NewScene starts the engines, the name service and the gateways.
func NewScene(options Options) (*Scene, error) {
	scene := &Scene{}
	for i := range options.Engines {
		handler := func(request standin.Request) standin.Reply { return options.Handler(i, request) }
		engine, err := standin.NewEngine("127.0.0.1:0", handler)
		if err != nil {
			scene.End()
			return nil, err
		}
		scene.Engines = append(scene.Engines, engine)
		scene.Hosts = append(scene.Hosts, options.Deployment.host(i, engine))
	}
	var err error
	if scene.Names, err = standin.NewNameServer("127.0.0.1:0", ListName); err != nil {
		scene.End()
		return nil, err
	}
	scene.Names.SetHosts(firstSerial, scene.Hosts)
	for i := range options.Gateways {
		gateway, err := StartGateway(Setup{Deployment: options.Deployment, Index: i, Gateways: options.Gateways, Hosts: scene.Hosts, DNS: scene.Names.Addr()})
		if err != nil {
			scene.End()
			return nil, fmt.Errorf("gateway %d: %w", i, err)
		}
		scene.Gateways = append(scene.Gateways, gateway)
	}
	return scene, nil
}

// End ends everything that NewScene started.
func (s *Scene) End() {
	for _, gateway := range s.Gateways {
		gateway.End()
	}
	if s.Names != nil {
		s.Names.Close()
	}
	for _, engine := range s.Engines {
		engine.Close()
	}
}

// Drain makes the name service list an engine as draining from now on.
func (s *Scene) Drain(engine int) {
	hosts := slices.Clone(s.Hosts)
	hosts[engine].Draining = true
	s.Hosts = hosts
	s.Names.SetHosts(firstSerial+1, hosts)
}

// ServeRow returns a reply with one row that names the request, after a delay.
func ServeRow(request standin.Request, delay time.Duration) standin.Reply {
	return standin.Reply{Delay: delay, Status: Served, Pages: []string{"row\tof\t" + request.ID + "\n"}}
}
