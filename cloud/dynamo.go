// SPDX-License-Identifier: MIT

package cloud

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/pkg/errors"

	"streambend.example/seam"
)

// The condition expressions that the adapter sends; a test server may compare them literally.
const (
	CondAbsent = "attribute_not_exists(pk)"
	CondRev    = "rev = :rev"
	CondQuery  = "pk = :pk AND sk > :after"
)

// Access holds the endpoint and the credentials of the platform's services.
type Access struct {
	Endpoint string // URL; empty for the region's default
	Region   string
	KeyID    string
	Secret   string
	HTTP     *http.Client // nil for the SDK's default
}

// Dynamo implements seam.Table with the DynamoDB protocol.
type Dynamo struct {
	client *dynamodb.Client
	table  string
}

// NewDynamo returns the Table stored in the named DynamoDB table. The SDK's retries
// are disabled, since this package's callers decide what is retried.
func NewDynamo(a Access, table string) *Dynamo {
	opts := dynamodb.Options{
		Region:      a.Region,
		Credentials: credentials.NewStaticCredentialsProvider(a.KeyID, a.Secret, ""),
		Retryer:     aws.NopRetryer{},
	}
	if a.Endpoint != "" {
		opts.BaseEndpoint = aws.String(a.Endpoint)
	}
	if a.HTTP != nil {
		opts.HTTPClient = a.HTTP
	}
	return &Dynamo{client: dynamodb.New(opts), table: table}
}

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func numberAttr(n int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(n, 10)}
}

func itemOf(m map[string]types.AttributeValue) seam.Item {
	var it seam.Item
	if v, ok := m["pk"].(*types.AttributeValueMemberS); ok {
		it.Key.Part = v.Value
	}
	if v, ok := m["sk"].(*types.AttributeValueMemberS); ok {
		it.Key.Sort = v.Value
	}
	if v, ok := m["rev"].(*types.AttributeValueMemberN); ok {
		it.Rev, _ = strconv.ParseInt(v.Value, 10, 64)
	}
	if v, ok := m["nonce"].(*types.AttributeValueMemberS); ok {
		it.Nonce = v.Value
	}
	if v, ok := m["val"].(*types.AttributeValueMemberB); ok {
		it.Value = v.Value
	}
	return it
}

// Get implements Table with a consistent read.
func (d *Dynamo) Get(ctx context.Context, k seam.Key) (seam.Item, error) {
	out, err := d.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &d.table,
		Key:            map[string]types.AttributeValue{"pk": stringAttr(k.Part), "sk": stringAttr(k.Sort)},
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return seam.Item{}, errors.Wrap(err, "cloud: get")
	}
	if len(out.Item) == 0 {
		return seam.Item{}, seam.ErrNotFound
	}
	return itemOf(out.Item), nil
}

// Query implements Table with a consistent read.
func (d *Dynamo) Query(ctx context.Context, part, after string, limit int) ([]seam.Item, error) {
	if after == "" {
		after = " " // the protocol does not allow an empty key value
	}
	out, err := d.client.Query(ctx, &dynamodb.QueryInput{
		TableName:              &d.table,
		KeyConditionExpression: aws.String(CondQuery),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": stringAttr(part), ":after": stringAttr(after),
		},
		ConsistentRead: aws.Bool(true),
		Limit:          aws.Int32(int32(limit)),
	})
	if err != nil {
		return nil, errors.Wrap(err, "cloud: query")
	}
	items := make([]seam.Item, 0, len(out.Items))
	for _, m := range out.Items {
		items = append(items, itemOf(m))
	}
	return items, nil
}

// Write implements Table with one transaction; the nonce is its idempotency token.
func (d *Dynamo) Write(ctx context.Context, nonce string, writes ...seam.Write) error {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		items = append(items, d.transactItem(nonce, w))
	}
	_, err := d.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		TransactItems:      items,
		ClientRequestToken: aws.String(nonce),
	})
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return seam.ErrConflict
	}
	return errors.Wrap(err, "cloud: write")
}

func (d *Dynamo) transactItem(nonce string, w seam.Write) types.TransactWriteItem {
	cond, vals := aws.String(CondAbsent), map[string]types.AttributeValue(nil)
	if w.Rev > 0 {
		cond = aws.String(CondRev)
		vals = map[string]types.AttributeValue{":rev": numberAttr(w.Rev)}
	}
	key := map[string]types.AttributeValue{"pk": stringAttr(w.Key.Part), "sk": stringAttr(w.Key.Sort)}
	if w.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &d.table, Key: key,
			ConditionExpression: cond, ExpressionAttributeValues: vals,
		}}
	}
	key["rev"] = numberAttr(w.Rev + 1)
	key["nonce"] = stringAttr(nonce)
	key["val"] = &types.AttributeValueMemberB{Value: w.Value}
	return types.TransactWriteItem{Put: &types.Put{
		TableName: &d.table, Item: key,
		ConditionExpression: cond, ExpressionAttributeValues: vals,
	}}
}

// S3 implements seam.Objects with the S3 protocol.
type S3 struct {
	client *s3.Client
	bucket string
}

// NewS3 returns the Objects stored in the named bucket.
func NewS3(a Access, bucket string) *S3 {
	opts := s3.Options{
		Region:       a.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(a.KeyID, a.Secret, ""),
		Retryer:      aws.NopRetryer{},
		UsePathStyle: true,

		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	}
	if a.Endpoint != "" {
		opts.BaseEndpoint = aws.String(a.Endpoint)
	}
	if a.HTTP != nil {
		opts.HTTPClient = a.HTTP
	}
	return &S3{client: s3.New(opts), bucket: bucket}
}

// statusError is implemented by SDK errors that carry an HTTP status.
type statusError interface{ HTTPStatusCode() int }

func hasStatus(err error, status int) bool {
	var s statusError
	return errors.As(err, &s) && s.HTTPStatusCode() == status
}

// Get implements Objects.
func (s *S3) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.bucket, Key: &name})
	if hasStatus(err, 404) {
		return nil, seam.ErrNotFound
	}
	if err != nil {
		return nil, errors.Wrap(err, "cloud: get object")
	}
	defer out.Body.Close()
	b, err := io.ReadAll(out.Body)
	return b, errors.Wrap(err, "cloud: read object")
}

// Put implements Objects with If-None-Match.
func (s *S3) Put(ctx context.Context, name string, value []byte) error {
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: &s.bucket, Key: &name, Body: bytes.NewReader(value), IfNoneMatch: aws.String("*"),
	})
	if hasStatus(err, 412) {
		return seam.ErrConflict
	}
	return errors.Wrap(err, "cloud: put object")
}
