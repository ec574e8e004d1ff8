package openapi

import "testing"

const doc = `{"openapi":"3.0.0","info":{"title":"t","version":"1"},"paths":{
"/check":{"post":{"x-model":"timetable","responses":{"200":{"description":"ok"}}}},
"/note":{"post":{"x-model":"yardnotes","responses":{"200":{"description":"ok"}}}},
"/ping":{"get":{"responses":{"200":{"description":"ok"}}}}}}`

func TestRead(t *testing.T) {
	c, f := Read([]byte(doc))
	if f.Any() || len(c.Changes) != 2 || c.Changes[0].Service.Name != "timetable" {
		t.Errorf("%+v %v", c, f)
	}
	for _, bad := range []string{
		"nonsense: [", `{"openapi":"3.0.0","info":{"title":"t","version":"1"},"paths":{}}`,
		`{"openapi":"3.0.0","info":{"title":"t","version":"1"},"paths":{"/a":{"get":{"x-model":"a b","responses":{"200":{"description":"ok"}}}}}}`,
	} {
		if _, f := Read([]byte(bad)); !f.Any() {
			t.Errorf("accepted: %s", bad)
		}
	}
}
