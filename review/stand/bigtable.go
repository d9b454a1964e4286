package main

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits that the pages set, and the shape of the case.
const (
	// designRoutes is the number of routes of the size to design for, and
	// grownRoutes that of the configurations in use.
	designRoutes = 39000
	grownRoutes  = 1400
	smallRoutes  = 8
	// smallLimit is the time in which a small configuration must be acknowledged. It
	// is twice the bound of the settings, 4 s and 3 ms for each route.
	smallLimit = 2*4*time.Second + 2*smallRoutes*routeTime
	// largeLimit is the time for which the large configuration is sent, and
	// smallDelay the time before the first small one. By then each control host has
	// got the large one.
	largeLimit = 80 * time.Second
	smallDelay = 14 * time.Second
	// leavingLimit is the time for which the leaving backend server asks.
	leavingLimit = 6 * time.Second
)

// word returns a random name such as the operator gives to routes.
func word(length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	text := make([]byte, length)
	for i := range text {
		text[i] = letters[rand.IntN(len(letters))]
	}
	return string(text)
}

// newConfiguration returns a configuration with a number of routes to one service.
func newConfiguration(version, routes int) configuration {
	c := configuration{Version: version, Services: []string{"oppslag"}}
	for range routes {
		c.Routes = append(c.Routes, route{"r-" + word(7), word(5) + ".example", "/" + word(7) + "/" + word(4) + "/", "safe", "oppslag"})
	}
	return c
}

// playBigTable sends one large configuration, and then a small one and a leaving
// backend server. The rule is broken if the small one is not acknowledged.
func playBigTable(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 5, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return false, err
	}
	var leaving *backend
	for i := range 3 {
		if leaving, err = f.startBackend(&ledger{}, "oppslag", i, time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(formationTime)
	if f.publish(newConfiguration(1, smallRoutes), 0, publishLimit).IsZero() {
		return false, errors.New("no acknowledgement of the first configuration")
	}
	if err := f.waitReady(publishLimit); err != nil {
		return false, err
	}
	routes := grownRoutes
	if trouble {
		routes = designRoutes
	}
	return f.orderBeside(newConfiguration(2, routes), leaving), nil
}

// orderBeside sends a large configuration until it is acknowledged or the case ends,
// as the operator does. A second operator sends small ones meanwhile, and a backend
// server leaves. It reports whether a small one got no acknowledgement in time.
func (f *fleet) orderBeside(large configuration, leaving *backend) bool {
	began := time.Now()
	var largeOrder sync.WaitGroup
	largeOrder.Go(func() { f.publish(large, 0, largeLimit) })
	time.Sleep(smallDelay)
	isLeavingAcked := leaving.leave(leavingLimit)
	lateCount := 0
	for version := 3; time.Since(began) < largeLimit; version++ {
		sent := time.Now()
		acked := f.publish(newConfiguration(version, smallRoutes), version, smallLimit)
		if acked.IsZero() {
			lateCount++
			f.record.add("small-order-late", "version", version)
		} else {
			f.record.add("small-order-acknowledged", "version", version, "ms", acked.Sub(sent).Milliseconds())
		}
		time.Sleep(time.Second)
	}
	largeOrder.Wait()
	f.record.add("orders", "late", lateCount, "leaving-acknowledged", isLeavingAcked)
	return lateCount > 0
}
