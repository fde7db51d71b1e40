package policy

// EndProbe reports the result of a probe. A host that is reachable again may have restarted, even if the list does not show it.
func (h *Host) EndProbe(ok bool) {
	if h.probing = false; ok && h.unreachable {
		h.unreachable, h.ejected, h.backoff, h.retryAt, h.limit = false, false, 0, 0, recoveryLimit
	}
	if ok {
		h.publishState(peerLatencyUnknown)
	}
	if set := h.set; set.probedReplica == h {
		set.probedReplica, set.probeWaitUntil = nil, 0
		set.serveQueue()
	}
}

// probeHosts probes unreachable and new hosts and, within probeCredit, those with old positions, oldest first.
func (r *Router) probeHosts() {
	for r.ProbesEnabled {
		var oldest *Host
		for _, host := range r.hosts {
			due := r.isProbeDue(host) && host.listState == Active && !host.probing
			if due && (oldest == nil || host.positionAt < oldest.positionAt) {
				oldest = host
			}
		}
		if oldest == nil {
			return
		}
		if oldest.unreachable {
			oldest.retryAt = r.now + second/4
		} else if oldest.positionAt > 0 {
			r.probeCredit--
		}
		r.startProbe(oldest)
	}
}

// isProbeDue reports whether to probe the host. With peer updates, about two routers probe it on behalf of all.
func (r *Router) isProbeDue(host *Host) bool {
	if host.unreachable {
		return r.now >= host.retryAt
	}
	aged := r.now >= host.positionAt+r.positionTTL && r.PositionsReported && !r.probesForReads
	return (host.positionAt == 0 || aged && r.probeCredit >= 1) &&
		(!r.PeerUpdatesEnabled || r.random()*float64(r.RouterCount) < 2)
}

func (r *Router) startProbe(host *Host) {
	host.probing, host.positionAt = true, max(host.positionAt, 1)
	r.caller.Probe(host)
}
