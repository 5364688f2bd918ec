package tryout_test

import (
	"context"
	"os"
	"net/http"
	"io"
	"strings"
	"testing"
	"time"
	"fmt"

	"cuminlift/internal/tryout"
	"cuminlift/io/identity"
	"cuminlift/io/operator"
	"cuminlift/schema"
)

func TestSmoke(t *testing.T) {
	c, err := tryout.Start(tryout.Config{
		Folder: t.TempDir(), Zones: []string{"a","b","c"}, Instances: 3, 
		Upstreams: []tryout.Upstreams{
			{Service:"calendar",Keyed:true,Count:16,Slots:2,Work:3*time.Millisecond,Connect: time.Millisecond},
			{Service:"registrations",Count:10,Slots:2,Work:3*time.Millisecond},
			{Service:"media",Count:6,Slots:2,Work:3*time.Millisecond},
		},
	})
	if err != nil { t.Fatal(err) }
	defer c.Close()
	id, _ := c.OperatorIdentity("alice")
	src, err := identity.Load(id)
	if err != nil { t.Fatal(err) }
	cl := operator.NewClient(operator.Config{Address: c.Instances[0].Daemon.Self().GetOperators(), TLS: src.Client("http/1.1")})
	text, _ := os.ReadFile("../../examples/seminars.json")
	r, err := cl.Change(context.Background(), &schema.ChangeRequest{Text: string(text), Reason: "first"})
	fmt.Println(r, err)
	began := time.Now()
	if !tryout.WaitUntil(15*time.Second, func() bool { return c.Serving(3) }) { 
		for _, i := range c.Instances { fmt.Println(i.Daemon.Status().Services[0]) }
		t.Fatal("not serving") }
	fmt.Println("serving after", time.Since(began))
	for n := 0; n < 200; n++ {
		i := c.Instances[n%len(c.Instances)]
		path := fmt.Sprintf("/calendar/k%d", n)
		b := time.Now()
		resp, err := http.Get("http://"+i.Daemon.Callers()+path)
		if err != nil { t.Fatal(err) }
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || n < 5 { fmt.Println(n, resp.StatusCode, strings.TrimSpace(string(body)), time.Since(b)) }
		req, _ := http.NewRequest("POST", "http://"+i.Daemon.Callers()+"/registrations/x", strings.NewReader("hi"))
		req.Header.Set("Idempotency-Key", fmt.Sprint(n/2))
		resp, err = http.DefaultClient.Do(req)
		if err != nil { t.Fatal(err) }
		body, _ = io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || n < 5 { fmt.Println(n, resp.StatusCode, strings.TrimSpace(string(body)), resp.Header) }
	}
	fmt.Println(c.Instances[0].Daemon.Metrics())
}
