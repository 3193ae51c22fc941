# About six tenths of the requests; endpoints are half as dear again.
s/per_s = 6[0-9]\.[0-9], clients/per_s = 36.5, clients/g
s/per_s = 5[0-9]\.[0-9], clients/per_s = 32.0, clients/g
s/per_s = 4[0-9]\.[0-9], clients/per_s = 28.5, clients/g
s/per_s = 3[0-9]\.[0-9], clients/per_s = 22.0, clients/g
s/^server_s = 3\.4/server_s = 5.1/
