package announcer

// addQuotas adds what an entry reports to a sidecar about quotas, or what that grants, to a regular
// message. It returns false if there is nothing.
func (s *session) addQuotas(m *message) bool {
	deps := &s.announcer.deps
	if deps.Quotas != nil {
		if report := deps.Quotas.Report(s.conn.RemoteAddr().String(), s.sent.quotasAt); report != nil {
			m.QuotaReport, s.sent.quotasAt = report, deps.Clock.Now()
		}
	}
	if member := s.member.Load(); deps.QuotaGranter != nil && member != nil && s.quotaReported.Swap(false) {
		m.QuotaGrants = deps.QuotaGranter.Grants(member.ID)
	}
	return m.QuotaReport != nil || m.QuotaGrants != nil
}

// handleQuotas stores what a regular message reports or grants. A report is answered at once.
func (s *session) handleQuotas(m *message) {
	deps := &s.announcer.deps
	if member := s.member.Load(); m.QuotaReport != nil && deps.QuotaGranter != nil && member != nil {
		deps.QuotaGranter.Receive(member.ID, *m.QuotaReport)
		s.quotaReported.Store(true)
		s.wakeUp()
	}
	if m.QuotaGrants != nil && deps.Quotas != nil {
		deps.Quotas.Receive(s.conn.RemoteAddr().String(), *m.QuotaGrants)
	}
}
