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

// errConflict says that the tables changed since the edit's base version.
var errConflict = errors.New("version conflict")

// errNoAnswer says that a host gave no answer: the request may have had its
// effect.
var errNoAnswer = errors.New("no answer")

// client talks to hosts' operators' interfaces.
type client struct {
	admin  string
	format string
	out    io.Writer
	errOut io.Writer
}

// requestLimit bounds one request.
const requestLimit = 15 * time.Second

// fault is the body of an answer that is an error.
type fault struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// hosts returns the addresses of -admin.
func (c *client) hosts() []string {
	var out []string
	for part := range strings.SplitSeq(c.admin, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// get reads from the first host that answers.
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

func (c *client) do(ctx context.Context, method, host, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
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
		return readFault(res)
	}
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		return fmt.Errorf("%w from %s: %v: check that -admin is a host's -admin-addr", errNoAnswer, host, err)
	}
	return nil
}

func readFault(res *http.Response) error {
	var f fault
	if err := json.NewDecoder(res.Body).Decode(&f); err != nil {
		return fmt.Errorf("%s %s: check that -admin is a host's -admin-addr, and that its version knows the command", res.Request.URL, res.Status)
	}
	err := fmt.Errorf("%s: %s (%s)", f.Kind, f.Message, f.Remedy)
	if f.Kind == contract.ErrEditUnknown.Name {
		return fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	if f.Kind == "version-conflict" {
		return fmt.Errorf("%w: %w", errConflict, err)
	}
	return err
}
