package front

import (
	"net/http"
	"strings"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/broker"
)

// recordLoad passes on the slowness that the target reports. An invalid report is logged
// once for its service.
func (f *Front) recordLoad(c *call, reservation *broker.Reservation, res *http.Response) {
	text := res.Header.Get(f.Headers.Load)
	if text == "" {
		return
	}
	load, err := f.ParseLoad(text)
	if err == nil {
		reservation.Slowness = load.Slowness
		return
	}
	if _, logged := f.loadErrors.LoadOrStore(c.service, true); !logged {
		event.LoadUnusable.Log(f.Log, "service", c.service, "target", reservation.Target.ID, "text", text, "error", err)
	}
}

// recordRateLimit passes on the limit that the target states. If it states an invalid one or several, that
// is logged once for its service, and what it stated before holds on.
func (f *Front) recordRateLimit(c *call, reservation *broker.Reservation, res *http.Response) {
	texts := res.Header.Values(f.Headers.RateLimit)
	if len(texts) == 0 {
		return
	}
	perSecond, err := f.ParseRateLimit(strings.Join(texts, ","))
	if err == nil {
		reservation.RateLimit = &perSecond
		return
	}
	unknown := broker.UnknownRateLimit
	reservation.RateLimit = &unknown
	if _, logged := f.rateLimitErrors.LoadOrStore(c.service, true); !logged {
		event.RateLimitUnusable.Log(f.Log, "service", c.service, "target", reservation.Target.ID, "texts", texts, "error", err)
	}
}
