# About three tenths more requests.
s/per_s = 6[0-9]\.[0-9], clients/per_s = 78.0, clients/g
s/per_s = 5[0-9]\.[0-9], clients/per_s = 69.0, clients/g
s/per_s = 4[0-9]\.[0-9], clients/per_s = 60.0, clients/g
s/per_s = 3[0-9]\.[0-9], clients/per_s = 48.0, clients/g
