package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// lastAttempt numbers the attempts of all clients.
var lastAttempt atomic.Int64

// Request is one attempt of a client.
type Request struct {
	Attempt string
	Method  string
	Path    string
	// Key is the key of a request to a divided service, or -1.
	Key int
	// Fill is the value of a further header, or "".
	Fill string
}

// Answer is what the client has got.
type Answer struct {
	// Status is 0 without an answer.
	Status int
	Signed bool
	Body   []byte
	Err    error
}

// NewAttempt returns a new attempt id.
func NewAttempt() string { return fmt.Sprintf("%016x", 0x1000+lastAttempt.Add(1)) }

// Client sends requests as PROTOCOL.md describes, with a deadline of a second.
type Client struct {
	Record *Record
	Client http.Client
}

// NewClient returns a client that keeps connections.
func NewClient(rec *Record) *Client {
	return &Client{
		Record: rec,
		Client: http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 8,
				DisableCompression:  true,
			},
		},
	}
}

// Do sends a request to an entry VM.
func (cli *Client) Do(vm *VM, req Request) Answer {
	ans := cli.send(vm, req)
	cli.Record.Write("request %s %s %s key %d fill %d at %s: status %d signed %t", req.Attempt, req.Method, req.Path, req.Key, len(req.Fill), vm.Name, ans.Status, ans.Signed)
	return ans
}

func (cli *Client) send(vm *VM, req Request) Answer {
	const deadline = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+vm.Callers+req.Path, nil)
	if err != nil {
		return Answer{
			Err: err,
		}
	}
	out.Host = Hostname
	out.Header.Set("Foxtailpulley-Attempt-Id", req.Attempt)
	out.Header.Set("Foxtailpulley-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	if req.Key >= 0 {
		out.Header.Set("Foxtailpulley-Shard-Key", strconv.Itoa(req.Key))
	}
	if req.Fill != "" {
		out.Header.Set("X-Fill", req.Fill)
	}
	res, err := cli.Client.Do(out)
	if err != nil {
		return Answer{
			Err: err,
		}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return Answer{
		Status: res.StatusCode,
		Signed: res.Header.Get("Foxtailpulley-Response-Signature") != "",
		Body:   body,
		Err:    err,
	}
}
