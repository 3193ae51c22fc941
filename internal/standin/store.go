// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"streambend.example/cloud"
	"streambend.example/seam"
)

// Store serves the DynamoDB and S3 requests that the platform adapters send,
// backed by a Memory and a MemoryObjects.
type Store struct {
	Table   *Memory
	Objects *MemoryObjects
}

// NewStore returns an empty store without faults.
func NewStore() *Store { return &Store{Table: NewMemory(), Objects: &MemoryObjects{}} }

type dynamoValue struct {
	S string `json:",omitempty"`
	N string `json:",omitempty"`
	B []byte `json:",omitempty"`
}

type dynamoItem struct {
	PK    dynamoValue `json:"pk"`
	SK    dynamoValue `json:"sk"`
	Rev   dynamoValue `json:"rev"`
	Nonce dynamoValue `json:"nonce"`
	Val   dynamoValue `json:"val"`
}

type dynamoChange struct {
	Item                      dynamoItem
	Key                       dynamoItem
	ConditionExpression       string
	ExpressionAttributeValues struct {
		Rev dynamoValue `json:":rev"`
	}
}

type dynamoWrite struct {
	Put    *dynamoChange
	Delete *dynamoChange
}

type dynamoRequest struct {
	Key                       dynamoItem
	KeyConditionExpression    string
	ExpressionAttributeValues struct {
		PK    dynamoValue `json:":pk"`
		After dynamoValue `json:":after"`
	}
	Limit              int
	TransactItems      []dynamoWrite
	ClientRequestToken string
}

type dynamoAnswer struct {
	Item  *dynamoItem  `json:",omitempty"`
	Items []dynamoItem `json:",omitempty"`
}

type dynamoError struct {
	Type string `json:"__type"`
}

// ServeHTTP serves both protocols: DynamoDB if the request has its target header, otherwise S3.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target := r.Header.Get("X-Amz-Target")
	if target == "" {
		s.serveObject(w, r)
		return
	}
	var req dynamoRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeDynamo(w, http.StatusBadRequest, dynamoError{"com.amazon.coral.service#SerializationException"})
		return
	}
	ans, err := s.dynamo(r, strings.TrimPrefix(target, "DynamoDB_20120810."), req)
	switch {
	case err == nil:
		writeDynamo(w, http.StatusOK, ans)
	case errors.Is(err, seam.ErrConflict):
		writeDynamo(w, http.StatusBadRequest, dynamoError{"com.amazonaws.dynamodb.v20120810#TransactionCanceledException"})
	default:
		writeDynamo(w, http.StatusInternalServerError, dynamoError{"com.amazonaws.dynamodb.v20120810#InternalServerError"})
	}
}

func writeDynamo(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *Store) dynamo(r *http.Request, op string, req dynamoRequest) (dynamoAnswer, error) {
	switch op {
	case "GetItem":
		it, err := s.Table.Get(r.Context(), seam.Key{Part: req.Key.PK.S, Sort: req.Key.SK.S})
		if errors.Is(err, seam.ErrNotFound) {
			return dynamoAnswer{}, nil
		}
		d := toDynamo(it)
		return dynamoAnswer{Item: &d}, err
	case "Query":
		if req.KeyConditionExpression != cloud.CondQuery {
			return dynamoAnswer{}, errors.Errorf("standin: unsupported query %q", req.KeyConditionExpression)
		}
		v := req.ExpressionAttributeValues
		its, err := s.Table.Query(r.Context(), v.PK.S, v.After.S, req.Limit)
		var ans dynamoAnswer
		for _, it := range its {
			ans.Items = append(ans.Items, toDynamo(it))
		}
		return ans, err
	case "TransactWriteItems":
		ws, err := fromDynamo(req.TransactItems)
		if err != nil {
			return dynamoAnswer{}, err
		}
		return dynamoAnswer{}, s.Table.Write(r.Context(), req.ClientRequestToken, ws...)
	}
	return dynamoAnswer{}, errors.Errorf("standin: unsupported operation %q", op)
}

func toDynamo(it seam.Item) dynamoItem {
	return dynamoItem{
		PK: dynamoValue{S: it.Key.Part}, SK: dynamoValue{S: it.Key.Sort},
		Rev:   dynamoValue{N: strconv.FormatInt(it.Rev, 10)},
		Nonce: dynamoValue{S: it.Nonce}, Val: dynamoValue{B: it.Value},
	}
}

func fromDynamo(items []dynamoWrite) ([]seam.Write, error) {
	var ws []seam.Write
	for _, ti := range items {
		c, del := ti.Put, false
		if c == nil {
			c, del = ti.Delete, true
		}
		if c == nil {
			return nil, errors.New("standin: transaction item is neither a put nor a delete")
		}
		w := seam.Write{Delete: del, Value: c.Item.Val.B}
		w.Key = seam.Key{Part: c.Item.PK.S, Sort: c.Item.SK.S}
		if del {
			w.Key = seam.Key{Part: c.Key.PK.S, Sort: c.Key.SK.S}
		}
		switch c.ConditionExpression {
		case cloud.CondAbsent:
		case cloud.CondRev:
			w.Rev, _ = strconv.ParseInt(c.ExpressionAttributeValues.Rev.N, 10, 64)
		default:
			return nil, errors.Errorf("standin: unsupported condition %q", c.ConditionExpression)
		}
		ws = append(ws, w)
	}
	return ws, nil
}

func (s *Store) serveObject(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Path
	var err error
	switch r.Method {
	case http.MethodGet:
		var b []byte
		if b, err = s.Objects.Get(r.Context(), name); err == nil {
			w.Write(b)
			return
		}
	case http.MethodPut:
		var b []byte
		if b, err = io.ReadAll(r.Body); err == nil {
			err = s.Objects.Put(r.Context(), name, b)
		}
	default:
		err = errors.New("standin: unsupported method")
	}
	switch {
	case err == nil:
	case errors.Is(err, seam.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, seam.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}
