package fpload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Command is the command line of the load generator, for kong.
type Command struct {
	Target    []string      `arg:"" help:"Base URLs of entry VMs, for example http://127.0.0.1:8080; requests go to them in turn."`
	Path      string        `required:"" help:"Path of the method, for example /stoc.Stock/Get."`
	Rate      float64       `default:"100" help:"Arrivals per second."`
	Duration  time.Duration `default:"10s" help:"Duration of the arrivals."`
	Factor    float64       `default:"0" help:"Factor of the surge; 0 for none."`
	SurgeAt   time.Duration `default:"3s" help:"Start of the surge."`
	SurgeFor  time.Duration `default:"3s" help:"Length of the surge."`
	Ramp      time.Duration `default:"0s" help:"Time in which the rate rises to that of the surge."`
	Keys      uint64        `default:"0" help:"Number of keys; 0 for requests without a key."`
	KeyField  string        `default:"key" help:"Request field that holds the key."`
	Zipf      float64       `default:"0" help:"Exponent of the Zipf distribution of keys, above 1; 0 for a uniform distribution."`
	MoveEvery time.Duration `default:"0s" help:"Time after which other keys become the hottest; 0 for never."`
	Callers   int           `default:"1" help:"Number of callers."`
	Deadline  time.Duration `default:"5s" help:"Time that a caller waits for an answer."`
	Once      bool          `help:"Send an Idempotency-Key, as non-idempotent methods need."`
	Seed      uint64        `default:"0" help:"Seed; 0 draws one, which is printed."`
	Out       string        `help:"Folder for result.json, series.csv and series.svg."`
}

// Run sends the load, writes the summary as JSON to out and, with the flag out, the files of the result. It prints the seed
// on the standard error output.
func (com *Command) Run(ctx context.Context, out io.Writer) error {
	if com.Seed == 0 {
		com.Seed = rand.Uint64()
	}
	fmt.Fprintf(os.Stderr, "seed %d\n", com.Seed)
	snd := newSender(com)
	res, err := Run(ctx, Config{
		Name:     com.Path,
		Seed:     com.Seed,
		Duration: com.Duration,
		Schedule: Schedule{
			Rate:     com.Rate,
			Factor:   com.Factor,
			SurgeAt:  com.SurgeAt,
			SurgeFor: com.SurgeFor,
			Ramp:     com.Ramp,
		},
		Keys: KeysConfig{
			Keys:      com.Keys,
			Zipf:      com.Zipf,
			MoveEvery: com.MoveEvery,
		},
		Callers:  com.callers(),
		Deadline: com.Deadline,
		Send:     snd.send,
	})
	if err != nil {
		return err
	}
	if err := res.WriteJSON(out); err != nil {
		return err
	}
	if com.Out == "" {
		return nil
	}
	return com.writeFiles(res)
}

// callers returns the callers, all with the same weight.
func (com *Command) callers() []Caller {
	out := make([]Caller, 0, max(1, com.Callers))
	for i := range max(1, com.Callers) {
		out = append(out, Caller{
			Name:   fmt.Sprintf("caller-%d", i),
			Weight: 1,
		})
	}
	return out
}

// writeFiles writes the files of a result into the folder Out and creates it if needed.
func (com *Command) writeFiles(res *Result) error {
	if err := os.MkdirAll(com.Out, 0o755); err != nil {
		return err
	}
	for name, writeTo := range map[string]func(io.Writer) error{
		"result.json": res.WriteJSON,
		"series.csv":  res.WriteCSV,
		"series.svg":  func(out io.Writer) error { return WriteSVG(out, com.Path, res) },
	} {
		var buf bytes.Buffer
		if err := writeTo(&buf); err != nil {
			return fmt.Errorf("write %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(com.Out, name), buf.Bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// sender sends requests as Connect unary calls with JSON bodies.
type sender struct {
	com           *Command
	client        *http.Client
	targetCounter atomic.Uint64
}

// connectionsPerTarget bounds the idle connections to one target.
const connectionsPerTarget = 1024

// newSender returns a sender with a connection pool of its own.
func newSender(com *Command) *sender {
	return &sender{
		com: com,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: connectionsPerTarget,
			},
		},
	}
}

// send sends one request and reads its answer.
func (snd *sender) send(ctx context.Context, req Request) Answer {
	out, err := snd.request(ctx, req)
	if err != nil {
		return Answer{
			Status: Failed,
			Kind:   "request",
		}
	}
	resp, err := snd.client.Do(out)
	if err != nil {
		return Answer{
			Status: Failed,
			Kind:   "connection",
		}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Answer{
			Status: Failed,
			Kind:   "truncated",
		}
	}
	return answerOf(resp)
}

// request returns the HTTP request to the next target.
func (snd *sender) request(ctx context.Context, req Request) (*http.Request, error) {
	body := map[string]string{}
	if req.Key != "" {
		body[snd.com.KeyField] = req.Key
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	target := snd.com.Target[int(snd.targetCounter.Add(1))%len(snd.com.Target)]
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target+snd.com.Path, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	out.Header.Set("Content-Type", "application/json")
	out.Header.Set("Connect-Protocol-Version", "1")
	out.Header.Set("Connect-Timeout-Ms", strconv.FormatInt(max(1, time.Until(req.Deadline).Milliseconds()), 10))
	out.Header.Set("Foxtailpulley-Caller", req.Caller)
	if snd.com.Once {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		out.Header.Set("Idempotency-Key", key.String())
	}
	return out, nil
}

// answerOf returns the Answer for an HTTP answer with a complete body. It has status Refused only if a header states that
// the request did not run.
func answerOf(resp *http.Response) Answer {
	ans := Answer{
		Kind: resp.Header.Get("Foxtailpulley-Error"),
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		ans.Status = Answered
	case resp.Header.Get("Foxtailpulley-Outcome") == "notRun" || resp.Header.Get("Foxtailpulley-Refused") != "":
		ans.Status = Refused
	default:
		ans.Status = Failed
	}
	if ans.Kind == "" && ans.Status != Answered {
		ans.Kind = "status" + strconv.Itoa(resp.StatusCode)
	}
	return ans
}
