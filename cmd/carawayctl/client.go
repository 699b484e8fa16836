package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// errConflict says that the tables changed since the edit's base version.
var errConflict = errors.New("version conflict")

// client talks to one host's operators' interface.
type client struct {
	admin  string
	format string
	out    io.Writer
}

// requestLimit bounds one request.
const requestLimit = 15 * time.Second

// fault is the body of an answer that is an error.
type fault struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

func (c *client) get(ctx context.Context, path string, into any) error {
	return c.do(ctx, http.MethodGet, path, nil, into)
}

func (c *client) post(ctx context.Context, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, path, raw, into)
}

func (c *client) do(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.admin+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: check -admin, or name another host", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return readFault(res)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

func readFault(res *http.Response) error {
	var f fault
	if err := json.NewDecoder(res.Body).Decode(&f); err != nil {
		return fmt.Errorf("%s", res.Status)
	}
	if res.StatusCode == http.StatusConflict {
		return fmt.Errorf("%w: %s (%s)", errConflict, f.Message, f.Remedy)
	}
	return fmt.Errorf("%s: %s (%s)", f.Kind, f.Message, f.Remedy)
}
