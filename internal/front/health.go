package front

import (
	"net/http"
	"time"
)

func (f *Front) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (f *Front) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !f.options.Ready() || !f.options.Accepting() || !f.options.Source.Confirmed(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
