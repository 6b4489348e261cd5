package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is how an attempt of a client ended.
type Answer struct {
	Attempt string
	Status  int // 0 if there was no answer
	Signed  bool
	Body    string
	Err     error
	Sent    time.Time
	Took    time.Duration
}

// Client sends requests to entry VMs. Each attempt has an id of its own, and nothing is sent again.
type Client struct {
	Entries  []*Process
	Record   *Record
	Deadline time.Duration
	// Kept keeps connections open.
	Kept    bool
	http    *http.Client
	once    sync.Once
	mutex   sync.Mutex
	answers []Answer
}

var lastAttempt atomic.Uint64

// NewAttempt returns a new attempt id.
func NewAttempt() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastAttempt.Add(1)) }

func (cli *Client) init() {
	cli.http = &http.Client{
		Timeout: cli.Deadline,
		Transport: &http.Transport{
			DisableKeepAlives:   !cli.Kept,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     10 * time.Second,
		},
	}
}

// Send sends one request to an entry VM.
func (cli *Client) Send(entry *Process, method, host, path, body string) Answer {
	cli.once.Do(cli.init)
	ans := Answer{
		Attempt: NewAttempt(),
		Sent:    time.Now(),
	}
	req, err := http.NewRequest(method, "http://"+entry.Callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = host
	if host == "keyed.example" {
		req.Header.Set("Foxtailpulley-Shard-Key", strconv.Itoa(rand.IntN(MaxKey+1)))
	}
	req.Header.Set("Foxtailpulley-Attempt-Id", ans.Attempt)
	req.Header.Set("Foxtailpulley-Request-Deadline", fmt.Sprint(cli.Deadline.Milliseconds()))
	res, err := cli.http.Do(req)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		ans.Status = res.StatusCode
		ans.Signed = res.Header.Get("Foxtailpulley-Response-Signature") != ""
		var buf []byte
		buf, err = io.ReadAll(res.Body)
		ans.Body = string(buf)
	}
	ans.Err = err
	ans.Took = time.Since(ans.Sent)
	cli.Record.Printf("client: %s %s%s attempt %s through %s: status %d, signed %t, %d bytes, after %v, error %v", method, host, path, ans.Attempt,
		entry.Name, ans.Status, ans.Signed, len(ans.Body), ans.Took.Round(time.Millisecond), err)
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	cli.answers = append(cli.answers, ans)
	return ans
}

// Answers returns how all attempts have ended.
func (cli *Client) Answers() []Answer {
	cli.mutex.Lock()
	defer cli.mutex.Unlock()
	return append([]Answer{}, cli.answers...)
}

// Run sends requests of both routes in a number of loops with a pause after each one, until ctx ends.
func (cli *Client) Run(ctx context.Context, loops int, pause time.Duration) *sync.WaitGroup {
	cli.once.Do(cli.init)
	var all sync.WaitGroup
	for num := range loops {
		all.Go(func() {
			for cnt := num; ctx.Err() == nil; cnt++ {
				entry := cli.Entries[cnt%len(cli.Entries)]
				if cnt%3 == 0 {
					cli.Send(entry, http.MethodGet, "safe.example", fmt.Sprintf("/safe/%d", cnt), "")
				} else {
					cli.Send(entry, http.MethodPost, "once.example", fmt.Sprintf("/once/%d", cnt), "charge")
				}
				time.Sleep(pause)
			}
		})
	}
	return &all
}
