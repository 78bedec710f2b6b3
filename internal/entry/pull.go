package entry

import (
	"fmt"

	"github.com/cyclamenward/cyclamenward/peer/link"
)

// pull returns the next token, or done at the end of a whole answer. A problem
// means that the answer cannot be completed.
func (r *run) pull() (text string, done bool, p *problem) {
	for {
		if r.stream == nil {
			if p := r.continueElsewhere(); p != nil {
				return "", false, p
			}
		}
		var frame link.Frame
		if err := r.stream.Receive(&frame); err != nil {
			if p := r.afterLoss(err); p != nil {
				return "", false, p
			}
			continue
		}
		text, done, due, p := r.take(&frame)
		if due || p != nil {
			return text, done, p
		}
	}
}

// continueElsewhere tries until an attempt that resumes the answer is admitted.
func (r *run) continueElsewhere() *problem {
	r.entry.metrics.resumed.Add(1)
	return r.start()
}

// take checks one frame. due tells that there is something to return.
func (r *run) take(frame *link.Frame) (text string, done, due bool, p *problem) {
	switch frame.Kind {
	case link.Token:
		pass, err := r.sequence.Accept(frame.AttemptID, frame.Index)
		if err != nil {
			return "", false, false, r.afterLoss(err)
		}
		if pass {
			r.generated = append(r.generated, frame.Text)
		}
		return frame.Text, false, pass, nil
	case link.End:
		r.entry.learn(r.request.service, r.index, frame.News)
		if err := r.sequence.End(frame.AttemptID, frame.Index); err != nil {
			return "", false, false, r.afterLoss(err)
		}
		return "", true, true, nil
	case link.Failure:
		r.entry.learn(r.request.service, r.index, frame.News)
		return "", false, false, r.afterFailure(frame)
	default:
		return "", false, false, r.afterLoss(fmt.Errorf("unexpected frame %q", frame.Kind))
	}
}
