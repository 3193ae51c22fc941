# Endpoints that take 7 s to start.
s/boot_s = 4\.0/boot_s = 7.0/g
