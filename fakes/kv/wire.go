package kv

import (
	"strconv"
	"strings"
)

// Int is an int64 that is encoded as a JSON string, as the gateway does, and
// decoded from a string or a number.
type Int int64

// MarshalJSON implements json.Marshaler.
func (i Int) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(i), 10) + `"`), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseInt(strings.Trim(string(b), `"`), 10, 64)
	if err != nil {
		return Error.Wrap(err)
	}
	*i = Int(n)
	return nil
}

type header struct {
	ClusterID Int `json:"cluster_id"`
	MemberID  Int `json:"member_id"`
	Revision  Int `json:"revision"`
	RaftTerm  Int `json:"raft_term"`
}

// item is one key with its value; []byte is base64 in JSON.
type item struct {
	Key            []byte `json:"key"`
	CreateRevision Int    `json:"create_revision"`
	ModRevision    Int    `json:"mod_revision"`
	Version        Int    `json:"version"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int    `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end"`
	Limit     Int    `json:"limit"`
	SortOrder string `json:"sort_order"`
	KeysOnly  bool   `json:"keys_only"`
	CountOnly bool   `json:"count_only"`
}

type rangeResponse struct {
	Header *header `json:"header,omitempty"`
	Kvs    []item  `json:"kvs,omitempty"`
	More   bool    `json:"more,omitempty"`
	Count  Int     `json:"count"`
}

type putRequest struct {
	Key    []byte `json:"key"`
	Value  []byte `json:"value"`
	Lease  Int    `json:"lease"`
	PrevKV bool   `json:"prev_kv"`
}

type putResponse struct {
	Header *header `json:"header,omitempty"`
	PrevKV *item   `json:"prev_kv,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	PrevKV   bool   `json:"prev_kv"`
}

type deleteResponse struct {
	Header  *header `json:"header,omitempty"`
	Deleted Int     `json:"deleted"`
	PrevKVs []item  `json:"prev_kvs,omitempty"`
}

type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"` // VERSION (default), CREATE, MOD, VALUE, LEASE
	Result         string `json:"result"` // EQUAL (default), GREATER, LESS, NOT_EQUAL
	Version        Int    `json:"version"`
	CreateRevision Int    `json:"create_revision"`
	ModRevision    Int    `json:"mod_revision"`
	Lease          Int    `json:"lease"`
	Value          []byte `json:"value"`
}

// operation holds exactly one request.
type operation struct {
	Range  *rangeRequest  `json:"request_range"`
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type operationResponse struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnResponse struct {
	Header    *header             `json:"header,omitempty"`
	Succeeded bool                `json:"succeeded"`
	Responses []operationResponse `json:"responses,omitempty"`
}

type grantRequest struct {
	TTL Int `json:"TTL"` // seconds
	ID  Int `json:"ID"`
}

type leaseRequest struct {
	ID Int `json:"ID"`
}

type leaseResponse struct {
	Header *header `json:"header,omitempty"`
	ID     Int     `json:"ID,omitempty"`
	TTL    Int     `json:"TTL,omitempty"` // seconds; absent if the lease does not exist
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create *watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision Int    `json:"start_revision"` // 0 means from the next change
	PrevKV        bool   `json:"prev_kv"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

type watchResult struct {
	Header          header       `json:"header"`
	WatchID         Int          `json:"watch_id"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision Int          `json:"compact_revision,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

type watchEvent struct {
	Type string `json:"type,omitempty"` // absent for a put
	KV   item   `json:"kv"`
}

type errorResponse struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
