package message

// LoadReport carries a daemon's report of the servers' load, encoded by
// traffic/loadreport.
type LoadReport struct {
	Body []byte
}

// Message encodes the report as a frame for the daemon with identity to.
//
// Example: m := message.LoadReport{Body: body}.Message(head.Ident)
func (r LoadReport) Message(to string) Message {
	return Message{Kind: KindLoadReport, To: to, Body: r.Body}
}

// AsLoadReport decodes a frame of KindLoadReport.
//
// Example: report := m.AsLoadReport()
func (m Message) AsLoadReport() LoadReport { return LoadReport{Body: m.Body} }
