package message

// LoadReport is what a daemon reports of the servers' load; its body is a report of
// traffic/loadreport.
type LoadReport struct {
	Body []byte
}

// Message is the frame of the report to a daemon.
//
// Example: m := message.LoadReport{Body: body}.Message(head.Ident)
func (r LoadReport) Message(to string) Message {
	return Message{Kind: KindLoadReport, To: to, Body: r.Body}
}

// AsLoadReport reads a frame of KindLoadReport.
//
// Example: report := m.AsLoadReport()
func (m Message) AsLoadReport() LoadReport { return LoadReport{Body: m.Body} }
