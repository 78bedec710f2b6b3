package main

import (
	"fmt"
	"time"
)

var zoneList = []string{"aalborg-a", "odense-a", "aarhus-b"}

// layout is a small deployment: in each zone an edge, a plain replica and model replicas with their sides.
type layout struct {
	edges, sides  []*daemon
	plain, models []*replica
}

// lay starts a small deployment whose machines have the addresses 127.net.zone.x.
func (d *deployment) lay(net, modelsPerZone int, shape func(p *replica)) (*layout, error) {
	l := &layout{}
	d.store.put("op/config", configuration(7, "kafi81c", "huvo11a"))
	d.store.put("op/version/"+model, map[string]any{"model": model, "version": 1})
	for i, zone := range zoneList {
		p := &replica{id: fmt.Sprintf("i-plain%d", i), service: "kafi81c", zone: zone, ip: fmt.Sprintf("127.%d.%d.9", net, i+1), work: 15 * time.Millisecond, store: d.store}
		shape(p)
		if err := p.start(0); err != nil {
			return nil, err
		}
		l.plain, d.replicas = append(l.plain, p), append(d.replicas, p)
		for k := range modelsPerZone {
			m := &replica{id: fmt.Sprintf("i-model%d-%d", i, k), service: "huvo11a", zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", net, i+1, 20+k), work: 100 * time.Millisecond, pieces: 8, gap: 50 * time.Millisecond, hasModel: true, store: d.store}
			shape(m)
			if err := m.start(0); err != nil {
				return nil, err
			}
			l.models, d.replicas = append(l.models, m), append(d.replicas, m)
			s, err := d.add("side", fmt.Sprintf("side-%s-%d", zone, k+1), m.ip, zone, m.address, "huvo11a")
			if err != nil {
				return nil, err
			}
			l.sides = append(l.sides, s)
		}
	}
	for i, zone := range zoneList {
		e, err := d.add("edge", fmt.Sprintf("edge-%s-1", zone), fmt.Sprintf("127.%d.%d.30", net, i+1), zone, "", "")
		if err != nil {
			return nil, err
		}
		l.edges = append(l.edges, e)
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	return l, nil
}
