"""Stand-ins for the database servers, the platform and whole deployments.

Tests, scenarios and measurements run hosts against them. `fleet` starts a
deployment of agents, pools and entries, whose database servers speak the
MySQL protocol (`database`) and whose platform is `platform`.
`platform_fleet` starts one of node programs, whose servers speak the line
protocol (`platform_servers`) and whose store is `platform_store`.
"""
