package fpserve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// oldCaller is a caller with one connection of HTTP/1.1.
type oldCaller struct {
	t   *testing.T
	con net.Conn
	red *bufio.Reader
}

func newOldCaller(t *testing.T, rou *router) *oldCaller {
	con, err := net.Dial("tcp", rou.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	_ = con.SetDeadline(time.Now().Add(20 * time.Second)) // a call without an answer fails the test
	return &oldCaller{
		t:   t,
		con: con,
		red: bufio.NewReader(con),
	}
}

// request returns a call in wire format. The header X-Send names it.
func (*oldCaller) request(send string) string {
	body := `{"requestId":"x"}`
	return fmt.Sprintf("POST /demo.Test/Once HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nIdempotency-Key: %s\r\nX-Send: %s\r\nContent-Length: %d\r\n\r\n%s",
		newKey(), send, len(body), body)
}

func (old *oldCaller) write(text string) error {
	_, err := io.WriteString(old.con, text)
	return err
}

// answer reads an answer. It returns the error of one that is not whole.
func (old *oldCaller) answer() (*http.Response, error) {
	res, err := http.ReadResponse(old.red, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res, err
}

// beginShutdown begins the shutdown of a router, and returns once its idle connections have been closed. The channel receives the error.
func (rou *router) beginShutdown() <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		ended <- rou.callers.Shutdown(ctx)
	}()
	for {
		con, err := net.Dial("tcp", rou.Listener.Addr().String())
		if err != nil {
			break
		}
		_ = con.Close()
	}
	time.Sleep(50 * time.Millisecond) // the pass over idle connections follows the end of the listener
	return ended
}

// TestShutdownAnswersArrivingCall guards against a call that gets no answer because a part of it had been read when the stop began:
// on a connection that was just accepted, and on one that was used before.
func TestShutdownAnswersArrivingCall(t *testing.T) {
	for _, used := range []bool{false, true} {
		for name, part := range map[string]int{
			"first byte":       1,
			"half of a header": 60,
			"half of a body":   -5,
		} {
			t.Run(fmt.Sprintf("%s, used connection %t", name, used), func(t *testing.T) {
				t.Parallel()
				fak := newFakeUpstream(t, "one")
				rou := newRouter(t, nil, fak)
				old := newOldCaller(t, rou)
				if used {
					_ = old.write(old.request("before"))
					if _, err := old.answer(); err != nil {
						t.Fatal(err)
					}
				}
				text := old.request("late")
				if part < 0 {
					part += len(text)
				}
				_ = old.write(text[:part])
				time.Sleep(50 * time.Millisecond) // the part is read
				ended := rou.beginShutdown()
				_ = old.write(text[part:])
				res, err := old.answer()
				_, runs := fak.runCounts("", "late")
				switch {
				case err != nil || !res.Close:
					t.Errorf("the call got %v and error %v, want an answer that ends the connection", res, err)
				case runs == 0 && (res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Foxtailpulley-Outcome") != "notRun"),
					runs > 0 && res.StatusCode != http.StatusOK:
					t.Errorf("the call ran %d times and got %v", runs, res)
				}
				if err := <-ended; err != nil {
					t.Errorf("shutdown: %v", err)
				}
			})
		}
	}
}

// frameCaller is a caller with one connection of HTTP/2.
type frameCaller struct {
	con  net.Conn
	fra  *http2.Framer
	next uint32 // the next stream
}

func newFrameCaller(t *testing.T, rou *router) *frameCaller {
	con, err := net.Dial("tcp", rou.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	_ = con.SetDeadline(time.Now().Add(20 * time.Second)) // a call without an answer fails the test
	cal := &frameCaller{
		con:  con,
		fra:  http2.NewFramer(con, con),
		next: 1,
	}
	cal.fra.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	_, _ = io.WriteString(con, http2.ClientPreface)
	_ = cal.fra.WriteSettings()
	return cal
}

// call sends a call and returns its stream. The header X-Send names it.
func (cal *frameCaller) call(send string) uint32 {
	stream := cal.next
	cal.next += 2
	writeHeaders(cal.fra, stream, false, ":method", "POST", ":scheme", "http", ":authority", "a", ":path", "/demo.Test/Once",
		"content-type", "application/proto", "idempotency-key", newKey(), "x-send", send)
	_ = cal.fra.WriteData(stream, true, nil)
	return stream
}

// await reads until a stream has been answered, GOAWAY states that it did not run, or the connection ends. Stream 0 stands for the end of
// the connection.
func (cal *frameCaller) await(stream uint32) (answered, refused, goAway bool) {
	for {
		frame, err := cal.fra.ReadFrame()
		if err != nil {
			return answered, refused, goAway
		}
		switch frame := frame.(type) {
		case *http2.GoAwayFrame:
			goAway = true
			refused = frame.LastStreamID < stream
		case *http2.MetaHeadersFrame:
			answered = answered || frame.StreamID == stream && frame.StreamEnded() && frame.PseudoValue("status") == ""
		case *http2.DataFrame:
			answered = answered || frame.StreamID == stream && frame.StreamEnded()
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				_ = cal.fra.WriteSettingsAck()
			}
		}
		if stream > 0 && (answered || refused) {
			return answered, refused, goAway
		}
	}
}

// TestShutdownSendsGoAway guards against an HTTP/2 connection that a stop closes without saying which calls did not run.
func TestShutdownSendsGoAway(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late call %t", late), func(t *testing.T) {
			t.Parallel()
			fak := newFakeUpstream(t, "one")
			rou := newRouter(t, nil, fak)
			cal := newFrameCaller(t, rou)
			if answered, _, _ := cal.await(cal.call("before")); !answered {
				t.Fatal("a call before the stop got no answer")
			}
			ended := rou.beginShutdown()
			if late {
				answered, refused, _ := cal.await(cal.call("late"))
				_, runs := fak.runCounts("", "late")
				if !answered && !refused || runs > 0 && !answered {
					t.Errorf("the call ran %d times; answered %t, refused %t", runs, answered, refused)
				}
			} else if _, _, goAway := cal.await(0); !goAway {
				t.Error("the connection ended without GOAWAY")
			}
			if err := <-ended; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
}

// TestCallersAreAskedToLeave guards against callers that stay on their connections until a stopping router closes them.
func TestCallersAreAskedToLeave(t *testing.T) {
	rou := newRouter(t, nil, newFakeUpstream(t, "one"))
	old, cal := newOldCaller(t, rou), newFrameCaller(t, rou)
	for _, leaving := range []bool{false, true} {
		if leaving {
			rou.callers.AskToLeave()
		}
		_ = old.write(old.request("x"))
		res, err := old.answer()
		if err != nil || res.Close != leaving {
			t.Errorf("got %v and error %v, want the end of the connection %t", res, err, leaving)
		}
		answered, _, goAway := cal.await(cal.call("x"))
		if leaving && !goAway {
			_, _, goAway = cal.await(0)
		}
		if !answered || goAway != leaving {
			t.Errorf("answered %t with GOAWAY %t, want %t", answered, goAway, leaving)
		}
	}
}

// TestCallsThroughoutShutdown guards against a call that is passed on to an upstream and then cut off by the stop: one that arrives at any
// time on an open connection, before the process ends.
func TestCallsThroughoutShutdown(t *testing.T) {
	for round := range 10 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			fak := newFakeUpstream(t, "one")
			rou := newRouter(t, nil, fak)
			var group sync.WaitGroup
			var mutex sync.Mutex
			answered := map[string]bool{} // by X-Send
			record := func(send string, ok bool) {
				mutex.Lock()
				defer mutex.Unlock()
				answered[send] = ok
			}
			for num := range 8 {
				old := newOldCaller(t, rou)
				group.Go(func() {
					for count := 0; ; count++ {
						send := fmt.Sprintf("old-%d-%d", num, count)
						_ = old.write(old.request(send))
						res, err := old.answer()
						record(send, err == nil)
						if err != nil || res.Close {
							return
						}
					}
				})
				cal := newFrameCaller(t, rou)
				group.Go(func() {
					for count := 0; ; count++ {
						send := fmt.Sprintf("frames-%d-%d", num, count)
						ok, refused, _ := cal.await(cal.call(send))
						record(send, ok)
						if !ok || refused {
							return
						}
					}
				})
			}
			time.Sleep(time.Duration(20+3*round) * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err := rou.callers.Shutdown(ctx); err != nil {
				t.Errorf("shutdown: %v", err)
			}
			if running := rou.server.Running(); running > 0 {
				t.Errorf("%d calls are in flight after the shutdown", running)
			}
			group.Wait()
			for send, ok := range answered {
				if _, runs := fak.runCounts("", send); runs > 0 && !ok {
					t.Errorf("%s ran %d times and got no answer", send, runs)
				}
			}
		})
	}
}

// TestShutdownEnds guards against a stop that waits for callers that send nothing, or nothing more.
func TestShutdownEnds(t *testing.T) {
	t.Parallel()
	rou := newRouter(t, nil, newFakeUpstream(t, "one"))
	for _, http2 := range []bool{false, true} {
		if _, err := call(rou, newClient(t, http2), "/demo.Test/Idem", "x", "", connect.WithProtoJSON()); err != nil {
			t.Fatal(err)
		}
	}
	_ = newOldCaller(t, rou).write(strings.Repeat("P", 10))
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	if err := rou.callers.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// TestLateLongCallIsAnswered guards against a call that comes late in a stop and is cut off at its end, because its work takes longer than
// that of any call before it.
func TestLateLongCallIsAnswered(t *testing.T) {
	const work = 1500 * time.Millisecond
	fak := newFakeUpstream(t, "one")
	rou := newRouter(t, nil, fak)
	cli := newClient(t, false)
	for range 10 {
		if _, err := call(rou, cli, "/demo.Test/Once", "x", newKey()); err != nil {
			t.Fatal(err)
		}
	}
	rou.callers.AskToLeave()
	started := make(chan struct{}, 1)
	fak.mutex.Lock()
	fak.faultFor = func(*http.Request) fault {
		started <- struct{}{}
		time.Sleep(work)
		return noFault
	}
	fak.mutex.Unlock()
	answered := make(chan error, 1)
	go func() {
		_, err := call(rou, cli, "/demo.Test/Once", "x", newKey())
		answered <- err
	}()
	<-started
	ended := rou.beginShutdown()
	if err := <-answered; err != nil {
		t.Errorf("the call got %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}
