// SPDX-License-Identifier: MIT

package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"streambend.example/seam"
)

// HTTP implements seam.Cloud and seam.BoxList with plain JSON over HTTP.
type HTTP struct {
	Base   string // URL without a trailing slash
	Client *http.Client
}

// stopOrder is the body of a stop request.
type stopOrder struct {
	Box   string
	Epoch int64
}

func (c HTTP) call(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "cloud: encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "cloud: create request")
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "cloud: send request")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusInsufficientStorage:
		return seam.ErrRefused
	default:
		return errors.Errorf("cloud: unexpected HTTP status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "cloud: decode")
}

// Start implements Cloud.
func (c HTTP) Start(ctx context.Context, o seam.StartOrder) (seam.Box, error) {
	var b seam.Box
	err := c.call(ctx, http.MethodPost, "/start", o, &b)
	return b, err
}

// Stop implements Cloud.
func (c HTTP) Stop(ctx context.Context, box string, epoch int64) error {
	return c.call(ctx, http.MethodPost, "/stop", stopOrder{Box: box, Epoch: epoch}, nil)
}

// Prices implements Cloud.
func (c HTTP) Prices(ctx context.Context) ([]seam.Price, error) {
	var p []seam.Price
	err := c.call(ctx, http.MethodGet, "/prices", nil, &p)
	return p, err
}

// Notices implements Cloud.
func (c HTTP) Notices(ctx context.Context) ([]seam.Notice, error) {
	var n []seam.Notice
	err := c.call(ctx, http.MethodGet, "/notices", nil, &n)
	return n, err
}

// List implements BoxList.
func (c HTTP) List(ctx context.Context, since int64) (seam.BoxPage, error) {
	var p seam.BoxPage
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/boxes?since=%d", since), nil, &p)
	return p, err
}
