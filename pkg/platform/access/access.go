// Package access creates the adapters of the platform's services from the addresses,
// certificates and credentials in the settings.
package access

import (
	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd"
	"github.com/lilacweir/lilacweir/pkg/platform/rest"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Services are the adapters of the platform's services. A service without settings is nil.
type Services struct {
	KeyValue  *etcd.Client
	Directory platform.Directory
	List      platform.InstanceList
	Weights   platform.WeightStore
}

// opener loads the certificates and secrets that the settings name.
type opener struct {
	store *credential.Store
	dial  credential.Dial
	// err is the first error.
	err error
}

// Open creates all adapters. They connect at the first call. The error is a
// *credential.FileError.
func Open(store *credential.Store, named settings.Platform, dial credential.Dial) (Services, error) {
	o := &opener{store: store, dial: dial}
	services := Services{KeyValue: o.keyValue(named)}
	if named.Directory != "" {
		services.Directory = rest.NewDirectory(named.Directory, dial, o.access(named.Access.Directory))
	}
	if named.InstanceList != "" {
		services.List = rest.NewInstanceList(named.InstanceList, dial, o.access(named.Access.InstanceList))
	}
	if named.WeightStore != "" {
		services.Weights = rest.NewWeightStore(named.WeightStore, dial, o.access(named.Access.WeightStore))
	}
	return services, o.err
}

// KeyValue creates only the adapter of the key-value service.
func KeyValue(store *credential.Store, named settings.Platform, dial credential.Dial) (*etcd.Client, error) {
	o := &opener{store: store, dial: dial}
	return o.keyValue(named), o.err
}

func (o *opener) keyValue(named settings.Platform) *etcd.Client {
	access := named.Access.KeyValue
	return etcd.New(etcd.Options{
		Endpoints: named.KeyValue,
		Prefix:    named.Prefix,
		Dial:      o.dial,
		TLS:       o.client(access.TLS),
		User:      access.User,
		Password:  o.secret(access.PasswordFile),
	})
}

func (o *opener) access(named settings.TokenAccess) rest.Access {
	return rest.Access{TLS: o.client(named.TLS), Token: o.secret(named.TokenFile)}
}

// client returns the TLS client, or nil for plain text.
func (o *opener) client(named settings.ClientTLS) *credential.Client {
	if named.Authority == "" {
		return nil
	}
	client := &credential.Client{ServerName: named.ServerName}
	var err error
	if client.Authority, err = o.store.Authority(named.Authority); err != nil {
		o.fail(err)
	}
	if named.Certificate != "" {
		if client.Pair, err = o.store.Pair(named.Certificate, named.Key); err != nil {
			o.fail(err)
		}
	}
	return client
}

// secret returns a function that reads the current secret, or nil if no file is named.
func (o *opener) secret(file string) func() string {
	if file == "" {
		return nil
	}
	secret, err := o.store.Secret(file)
	if err != nil {
		o.fail(err)
		return nil
	}
	return secret.Value
}

func (o *opener) fail(err error) {
	if o.err == nil {
		o.err = err
	}
}
