package decide

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

// receive gives a request a slot or queues it.
func (e *engine) receive(s *simulation, f *flight) {
	s.result.recordExcess(e)
	defer e.recordLoad(s)
	if e.running >= engineSlots {
		e.queue = append(e.queue, f)
		return
	}
	e.admit(s, f)
}

func (e *engine) admit(s *simulation, f *flight) {
	e.running++
	e.prefilling = append(e.prefilling, f)
	e.nextPrefill(s)
}

// nextPrefill starts the next prefill; an engine processes one prompt at a time.
func (e *engine) nextPrefill(s *simulation) {
	if e.prefillBusy || len(e.prefilling) == 0 {
		return
	}
	f := e.prefilling[0]
	e.prefilling = e.prefilling[1:]
	e.prefillBusy = true
	length := e.prefillTime(f.job)
	e.loadHistory.prefills = append(e.loadHistory.prefills, span{s.Now(), s.Now().Add(length)})
	s.After(length, func() {
		e.prefillBusy = false
		e.nextPrefill(s)
		e.decode(s, f)
	})
}

// decode generates the answer at the rate of the batch size at its start.
func (e *engine) decode(s *simulation, f *flight) {
	token := e.tokenTime()
	s.result.recordBetweenTokens(s, f.job, token)
	e.decodeSeconds += tokenCost() * float64(f.job.answer)
	s.After(token, func() {
		f.flight.FirstByte()
		s.result.recordFirstToken(s, f.job, e.returnDelay(f.job))
	})
	if e.failureDomain.index != f.job.failureDomain {
		s.spills.bytes += f.job.answerBytes()
	}
	s.After(token*time.Duration(f.job.answer), func() { e.done(s, f) })
}

func (e *engine) done(s *simulation, f *flight) {
	e.running--
	defer e.recordLoad(s)
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.admit(s, next)
	}
	s.result.recordAnswer(s, f.job, e.returnDelay(f.job))
	f.flight.Done(limit.Succeeded)
	f.entry.Release()
	f.gateway.start()
}
