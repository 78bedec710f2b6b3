package soaker

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/checker"
	"github.com/cyclamenward/cyclamenward/internal/standin/generator"
	"github.com/cyclamenward/cyclamenward/internal/standin/worker"
)

// playSilence stops an edge while streams run, some of which the model replicas preempt: a silent
// replica is no reason to end an answer sooner.
func playSilence(d *deployment, quiet bool) error {
	for _, g := range d.generators {
		if !quiet {
			g.SetTrouble(generator.Preempts)
		}
	}
	var stopped sync.WaitGroup
	stopped.Go(func() {
		// The streams have begun, and the first preemptions are near.
		<-time.After(generator.Slots * maxThinkMs * time.Millisecond)
		d.edges[0].Terminate()
	})
	d.sendAll(len(d.generators)*generator.Slots, 1, true, func(c *caller) (checker.Request, string) {
		request, key := drawStream(c)
		request.Path, request.Kind, request.MaxAttempts = "/chat/x", checker.Resumable, streamAttempts
		return request, key
	})
	stopped.Wait()
	return nil
}

// formBody is the body of a booking with a form, whose parts have an order and header fields of
// their own.
const formBody = "--club-form\r\n" +
	"Content-Disposition: form-data; name=\"watch\"\r\n\r\ncrate 7\r\n--club-form\r\n" +
	"Content-Disposition: form-data; name=\"watch\"\r\n\r\ncrate 9\r\n--club-form\r\n" +
	"Content-Disposition: form-data; name=\"club\"\r\nContent-Type: text/plain; charset=iso-8859-1\r\n\r\nM\xfcnster\r\n--club-form\r\n" +
	"Content-Disposition: form-data; name=\"splits\"; filename=\"heat3.csv\"\r\nContent-Type: text/csv\r\n\r\nlane,split\r\n1,24.81\r\n\r\n--club-form--\r\n"

// playForms sends bookings whose bodies are forms, whole and in chunks.
func playForms(d *deployment, quiet bool) error {
	d.sendAll(4, 20, false, func(c *caller) (checker.Request, string) {
		request := checker.Request{Method: http.MethodPost, Path: "/book/x", Body: formBody, Service: plainService, Kind: checker.AtMostOnce, Timeout: plainTimeout, MaxAttempts: plainAttempts}
		if !quiet {
			request.ContentType = "multipart/form-data; boundary=club-form"
		}
		return request, c.drawWorkspace(&request)
	})
	return nil
}

const (
	// garbledReplicas is the number of faulty replicas in playGarbled, garbledTime its duration, and garbledCallers the
	// number of callers.
	garbledReplicas, garbledTime, garbledCallers = 2, 8 * time.Second, 24
)

// playGarbled has replicas send malformed answers.
func playGarbled(d *deployment, quiet bool) error {
	if !quiet {
		for _, w := range d.staying()[:garbledReplicas] {
			defer d.history.Disturb(w.ID(), "REPLICA "+worker.Garbles.String(), true)()
			w.SetBehaviour(worker.Garbles)
		}
	}
	defer d.crowd(garbledCallers)()
	<-time.After(garbledTime)
	return nil
}

const (
	// leavingShare is the share of the replicas that leave.
	leavingShare = 0.25
	// leavingTime is the time for which some leave around the start of a process, and readingTime
	// that in which a process that has started reads the store.
	leavingTime, readingTime = 500 * time.Millisecond, 100 * time.Millisecond
	// abruptOne in so many replicas leaves without a word.
	abruptOne = 3
	// leftServes is how long a replica that has left serves on.
	leftServes = 40 * time.Second
)

// playPages has replicas leave while edges that have started read the store in pages.
func playPages(d *deployment, quiet bool) error {
	return playLeaving(d, quiet, true, readingTime)
}

// playOlderCopies has replicas leave while edges are down, and then start from the copies of other
// daemons.
func playOlderCopies(d *deployment, quiet bool) error {
	return playLeaving(d, quiet, false, leavingTime)
}

// playLeaving has replicas leave for a time while edges are stopped and started in turn, once the
// edge runs again or has ended.
func playLeaving(d *deployment, quiet, running bool, duration time.Duration) error {
	leaving := d.staying()
	leaving = leaving[:int(leavingShare*float64(len(leaving)))]
	share := len(leaving) / len(d.edges)
	for i, edge := range d.edges {
		if !quiet {
			edge.Terminate()
			for edge.Running() {
				<-time.After(pollInterval)
			}
			for running && !edge.Running() {
				<-time.After(pollInterval)
			}
		}
		d.leaveAll(leaving[i*share:(i+1)*share], duration)
		<-time.After(stableSlack)
		if err := edge.AwaitReady(startTimeout); err != nil {
			return err
		}
	}
	if err := d.becomeStable(); err != nil {
		return err
	}
	<-time.After(d.options.Bounds.Drain)
	d.sendAll(24, 100, true, drawQuick)
	return nil
}

// leaveAll has replicas leave, spread over a time.
func (d *deployment) leaveAll(leaving []*worker.Worker, duration time.Duration) {
	began := time.Now()
	for n, w := range leaving {
		d.leave(w, n%abruptOne == 0, leftServes)
		if pause := time.Until(began.Add(duration * time.Duration(n) / time.Duration(len(leaving)))); pause > 0 {
			<-time.After(pause)
		}
	}
}

// drawQuick draws a plain request that takes little time.
func drawQuick(c *caller) (checker.Request, string) {
	request := checker.Request{Method: http.MethodGet, Path: "/look/x", Service: plainService, Kind: checker.Repeatable, Timeout: plainTimeout, MaxAttempts: plainAttempts}
	return request, c.drawWorkspace(&request)
}

// watchCut is how long a watch waits until the store cuts it.
const watchCut = time.Second

// playWatchCuts has replicas leave while the store cuts each waiting watch, which is no outage.
func playWatchCuts(d *deployment, quiet bool) error {
	if !quiet {
		d.store.CutWatches(watchCut)
	}
	leaving := d.staying()
	leaving = leaving[:len(leaving)/2]
	d.leaveAll(leaving, leavingTime)
	<-time.After(d.options.Bounds.Drain + stableSlack)
	d.sendAll(12, 60, true, drawQuick)
	return nil
}

const (
	// busyTime is how long replicas are full, weightsInterval the time between two versions of the
	// weights then.
	busyTime, weightsInterval = 12 * time.Second, 1500 * time.Millisecond
	// busyCallers is the number of callers of the plain service then, and quietCallers without trouble.
	busyCallers, quietCallers = 60, 6
)

// playBusy sends more than the replicas have places for while new weights are named: replicas
// reject what they have no place for and what comes while they load weights.
func playBusy(d *deployment, quiet bool) error {
	callers := busyCallers
	if quiet {
		callers = quietCallers
	}
	defer d.crowd(callers)()
	for end := time.After(busyTime); ; {
		select {
		case <-end:
			return nil
		case <-time.After(weightsInterval):
		}
		if !quiet {
			if err := d.wantWeights(); err != nil {
				return err
			}
		}
	}
}

// crowd starts callers of both services, half as many of the models if there are any, and returns what ends them.
func (d *deployment) crowd(callers int) (end func()) {
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	d.startCallers(&tasks, stop, "p", callers, drawPlain)
	if len(d.generators) > 0 {
		d.startCallers(&tasks, stop, "s", callers/2, drawStream)
	}
	return func() {
		close(stop)
		tasks.Wait()
	}
}

// hotQuotas are the quotas of playQuotas. The first workspace asks for several times its own.
var hotQuotas = map[string]checker.Quota{"club-a": {Rate: 1500, Burst: 1500}, "club-b": {Rate: 60000, Burst: 60000}}

// playQuotas has a workspace ask for more than its quota while all kinds of drawn faults strike.
func playQuotas(d *deployment, quiet bool) error { return playTroubled(d, quiet) }

// playTroubled does what playBusy does while all kinds of drawn faults strike.
func playTroubled(d *deployment, quiet bool) error {
	end := d.crowd(busyCallers)
	defer end()
	if quiet {
		<-time.After(busyTime)
		return nil
	}
	return newSoak(d, plan{faults: slices.Concat(planned, unplanned)}, io.Discard).strike(busyTime)
}
