// SPDX-License-Identifier: MIT

package conn_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"streambend.example/conn"
)

func chunks(text string) ([]conn.Chunk, error) {
	s := conn.NewStream(io.NopCloser(strings.NewReader(text)))
	var out []conn.Chunk
	for {
		c, err := s.Next()
		if err != nil {
			return out, err
		}
		out = append(out, c)
		if c.Done {
			return out, nil
		}
	}
}

func TestStream(t *testing.T) {
	const one = `data: {"id":"cmpl-1","choices":[{"index":0,"text":"a","token_ids":[7],"prompt_token_ids":[1,2]}]}` + "\n\n"
	got, err := chunks(": comment\r\nid: 3\r\n" + one + "data: [DONE]\n\n")
	require.NoError(t, err)
	assert.Equal(t, conn.Chunk{ID: "cmpl-1", Text: "a", Tokens: []int{7}, Prompt: []int{1, 2}}, got[0])
	assert.True(t, got[1].Done)
	_, err = chunks(one)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "no end marker")
	for _, bad := range []string{
		"data: {\n\n", `data: {"choices":[{"index":1}]}` + "\n", `data: {"choices":[{},{}]}` + "\n",
		`data: {"error":{"message":"x"}}` + "\n", "data: " + strings.Repeat("x", 2<<20) + "\n",
	} {
		_, err = chunks(bad)
		assert.ErrorIs(t, err, conn.ErrMalformed, "%.40q", bad)
	}
}

func FuzzStream(f *testing.F) {
	f.Add(`data: {"id":"cmpl-1","choices":[{"index":0,"text":"a","token_ids":[7]}]}` + "\n\ndata: [DONE]\n\n")
	f.Add("data: {\"choices\":null}\n\n\n:\n")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := chunks(text)
		if err == nil && !got[len(got)-1].Done {
			t.Fatal("ended without an end marker")
		}
		if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, conn.ErrMalformed) {
			t.Fatal(err)
		}
	})
}
