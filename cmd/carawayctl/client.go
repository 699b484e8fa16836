package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// errConflict means that the tables have changed since the edit's base version.
var errConflict = errors.New("version conflict")

// errNoAnswer means that there was no usable answer: whether the request had an
// effect is unknown.
var errNoAnswer = errors.New("no answer")

// client sends requests to the admin interfaces of the hosts and prints the
// results.
type client struct {
	// admin is the value of -admin: comma-separated addresses.
	admin string
	// format is the value of -o: formatTable or formatJSON.
	format string
	out    io.Writer
	errOut io.Writer
}

// requestTimeout limits the time of one request.
const requestTimeout = 15 * time.Second

// errorBody is the response body of a failed request.
type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// hosts returns the addresses given by -admin.
func (c *client) hosts() []string {
	var out []string
	for part := range strings.SplitSeq(c.admin, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// get sends a GET request to the hosts in turn until one answers, and decodes the
// answer.
func (c *client) get(ctx context.Context, path string, into any) error {
	err := fmt.Errorf("%w: -admin is empty: give IP:port of a host", errUsage)
	for _, h := range c.hosts() {
		err = c.getFrom(ctx, h, path, into)
		if !errors.Is(err, errNoAnswer) {
			return err
		}
	}
	return err
}

func (c *client) getFrom(ctx context.Context, host, path string, into any) error {
	return c.do(ctx, http.MethodGet, host, path, nil, into)
}

func (c *client) postTo(ctx context.Context, host, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, host, path, raw, into)
}

// do sends one request and decodes the answer. A request without an answer, or
// with one that cannot be decoded, returns errNoAnswer.
func (c *client) do(ctx context.Context, method, host, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: -admin %q: %v: give IP:port", errUsage, host, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w from %s: %v: check -admin, or name another host", errNoAnswer, host, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readError(res)
	}
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return fmt.Errorf("%w from %s: %v: check that -admin is a host's -admin-addr", errNoAnswer, host, err)
	}
	return nil
}

// readError returns the error that a response with a status other than 200
// describes.
func readError(res *http.Response) error {
	var body errorBody
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		return fmt.Errorf("%s %s: check that -admin is a host's -admin-addr, and that its version supports the command", res.Request.URL, res.Status)
	}
	err := fmt.Errorf("%s: %s (%s)", body.Kind, body.Message, body.Remedy)
	if body.Kind == contract.ErrEditUnknown.Name || body.Kind == contract.ErrNoLeader.Name {
		return fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	if body.Kind == "version-conflict" {
		return fmt.Errorf("%w: %w", errConflict, err)
	}
	return err
}
