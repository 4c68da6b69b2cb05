package org.lavenderstage.entry;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.claim.ClaimLedger;
import org.lavenderstage.core.ledger.claim.ClaimWindow;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.core.routing.SlotTiming;
import org.lavenderstage.core.sheet.SheetLedger;
import org.lavenderstage.entry.admin.AdminServer;
import org.lavenderstage.entry.admin.EntryMetrics;
import org.lavenderstage.entry.admin.StateDump;
import org.lavenderstage.entry.admin.StateDumps;
import org.lavenderstage.entry.config.Configuration;
import org.lavenderstage.entry.config.ConfigurationSync;
import org.lavenderstage.entry.config.EndTrackingLog;
import org.lavenderstage.entry.dispatch.Dispatcher;
import org.lavenderstage.entry.dispatch.DispatcherContext;
import org.lavenderstage.entry.log.SnapshotWriter;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.entry.peer.Membership;
import org.lavenderstage.entry.peer.PeerRecovery;
import org.lavenderstage.entry.peer.PeerServer;
import org.lavenderstage.entry.peer.PublishedSlotState;
import org.lavenderstage.entry.request.CallerErrorHandler;
import org.lavenderstage.entry.request.ClaimGateway;
import org.lavenderstage.entry.request.RequestService;
import org.lavenderstage.entry.task.Cell;
import org.lavenderstage.entry.task.CellOwner;
import org.lavenderstage.entry.task.JobGateway;
import org.lavenderstage.entry.task.JobService;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.AnswerQuery;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.peer.PeerMessage;
import org.lavenderstage.wire.peer.SheetQuery;
import org.lavenderstage.wire.peer.SnapshotQuery;
import org.lavenderstage.wire.platform.VmRole;
import org.lavenderstage.wire.settings.EntrySettings;

/** An entry with its background threads and ports. The daemon adds only the command line to it. */
public final class Entry implements AutoCloseable {
  /** Name of the configuration stream. */
  public static final String CONFIG_STREAM = "config";

  /** Name of the claim stream. */
  public static final String CLAIM_STREAM = "claims";

  private static final long VM_LIST_POLL_MILLIS = 500;
  private static final long DRAIN_POLL_MILLIS = 20;

  private final EntrySettings settings;
  private final String name;
  private final EntryStreams streams;
  private final StreamReplica<SheetLedger> configReplica;
  private final Configuration configuration;
  private final ConfigurationSync configSync;
  private final VmDirectory directory;
  private final Membership membership;
  private final PeerServer peerServer;
  private final PlatformClients clients;
  private final Dispatcher dispatcher;
  private final ClaimWindow claimWindow;
  private final StreamReplica<ClaimLedger> claimReplica;
  private final ClaimGateway claimGateway;
  private final List<Cell> cells = new ArrayList<>();
  private final List<CellOwner> owners = new ArrayList<>();
  private final EntryMetrics metrics = new EntryMetrics();
  private final Server server;
  private final AdminServer adminServer;
  private final EntryAddresses addresses;
  private final SnapshotWriter snapshots;
  private final PeerRecovery recovery;
  private volatile boolean draining;

  /**
   * Starts an entry that uses the platform over HTTP.
   *
   * @param settings validated settings
   */
  public Entry(EntrySettings settings) {
    this(settings, PlatformClients.http(settings));
  }

  /**
   * Starts an entry.
   *
   * @param settings validated settings
   * @param clients clients of the platform, the workers and the executors
   */
  public Entry(EntrySettings settings, PlatformClients clients) {
    this.settings = settings;
    this.clients = clients;
    this.name = settings.vm() + "-" + UUID.randomUUID();
    directory = new VmDirectory(clients.vmList(), VM_LIST_POLL_MILLIS);
    peerServer = new PeerServer(settings.host(), settings.peerPort(), this::handlePeer);
    streams = new EntryStreams(name, settings, clients.log(), this::liveEntryCount);
    EndTrackingLog configLog = new EndTrackingLog(clients.log());
    configReplica = streams.replica(CONFIG_STREAM, configLog, new SheetLedger());
    streams.appender(configReplica);
    configuration = new Configuration(configReplica);
    PublishedSlotState slotState = new PublishedSlotState();
    membership = new Membership(this::self, directory, slotState, settings.heartbeatMillis());
    configSync = newConfigurationSync(configLog);
    claimWindow =
        new ClaimWindow(
            settings.claimWindowMillis(), settings.claimAheadMillis(), settings.clockSkewMillis());
    claimReplica =
        streams.replica(
            CLAIM_STREAM, clients.log(), new ClaimLedger(claimWindow, settings.claimLimit()));
    dispatcher =
        new Dispatcher(clients.executors(), dispatcherContext(slotState), settings.ringSize());
    claimGateway = newClaimGateway();
    for (String cell : settings.cells().split(",", -1)) {
      addCell(cell.strip());
    }
    snapshots =
        new SnapshotWriter(
            streams.snapshotStreams(),
            settings.logRetentionMillis(),
            settings.snapshotRecords(),
            this::isSnapshotWriter);
    recovery = new PeerRecovery(peerAddress(), directory, streams.replicas());
    server = startServer(new JobGateway(cells, settings.claimWaitMillis()));
    adminServer =
        new AdminServer(
            new InetSocketAddress(settings.host(), settings.adminPort()),
            this::isReady,
            this::dump,
            this::drain,
            metrics);
    addresses = boundAddresses();
    addGauges();
    startThreads();
    EventLog.info(
        LogEvent.ENTRY_STARTED, "entry", name, "http", addresses.http(), "peer", addresses.peer());
  }

  private ConfigurationSync newConfigurationSync(EndTrackingLog configLog) {
    return new ConfigurationSync(
        configuration,
        configReplica,
        configLog,
        membership::live,
        this::otherEntryCount,
        settings.configStaleMillis());
  }

  private ClaimGateway newClaimGateway() {
    return new ClaimGateway(
        name,
        settings,
        claimReplica,
        streams.appender(claimReplica),
        dispatcher::submit,
        this::peerAddress);
  }

  private void startThreads() {
    peerServer.start();
    streams.start();
    directory.start();
    membership.start();
    claimGateway.start();
    configSync.start();
    owners.forEach(CellOwner::start);
    recovery.start();
    snapshots.start();
  }

  private int liveEntryCount() {
    return membership.live().size();
  }

  private String peerAddress() {
    return settings.host() + ":" + peerServer.port();
  }

  private DispatcherContext dispatcherContext(PublishedSlotState slotState) {
    long longestRequestNanos = TimeUnit.MILLISECONDS.toNanos(settings.longestRequestMillis());
    long handoverNanos = TimeUnit.MILLISECONDS.toNanos(settings.slotHandoverMillis());
    long startDelayNanos = TimeUnit.MILLISECONDS.toNanos(settings.heartbeatMillis());
    SlotTiming timing =
        new SlotTiming(
            handoverNanos,
            handoverNanos - longestRequestNanos,
            longestRequestNanos + handoverNanos / 4,
            startDelayNanos);
    return new DispatcherContext(
        settings.vm(),
        name,
        directory,
        slotState,
        membership::peerAddress,
        timing,
        longestRequestNanos);
  }

  private void addCell(String cellName) {
    StreamReplica<CellLedger> replica =
        streams.replica(
            Cell.streamName(cellName), clients.log(), new CellLedger(settings.clockSkewMillis()));
    cells.add(new Cell(cellName, replica, streams.appender(replica)));
    owners.add(
        new CellOwner(
            name,
            settings,
            cells.get(cells.size() - 1),
            directory,
            configuration,
            clients.workers()));
  }

  private Server startServer(JobGateway jobGateway) {
    JobService jobs = new JobService(settings, configuration, jobGateway, this::isReady);
    ServerBuilder builder =
        Server.builder()
            .http(new InetSocketAddress(settings.host(), settings.httpPort()))
            .requestTimeoutMillis(0)
            .maxRequestLength(settings.bodyLimitBytes())
            .gracefulShutdownTimeout(
                Duration.ofMillis(DRAIN_POLL_MILLIS), Duration.ofMillis(settings.drainMillis()))
            .service("/v1/workspaces/{workspace}/services/{service}/requests", requestService())
            .errorHandler(new CallerErrorHandler())
            .service("/v1/workspaces/{workspace}/jobs", jobs)
            .service("/v1/workspaces/{workspace}/jobs/{job}", jobs)
            .decorator(this::closeConnectionsWhileDraining);
    Server startedServer = builder.build();
    startedServer.start().join();
    return startedServer;
  }

  /**
   * Shuts down callers' connections while the entry drains, before the ports close, so that no
   * request is sent over a connection that is being closed.
   */
  private HttpResponse closeConnectionsWhileDraining(
      HttpService service, ServiceRequestContext context, HttpRequest request) throws Exception {
    if (draining) {
      CompletableFuture<?> unused = context.initiateConnectionShutdown();
    }
    return service.serve(context, request);
  }

  private RequestService requestService() {
    return new RequestService(
        settings,
        configuration,
        claimGateway,
        claimWindow,
        claimReplica::logNowMillis,
        dispatcher,
        metrics,
        this::isReady);
  }

  private Optional<String> peerAddress(String entry) {
    return membership.live().stream()
        .filter(member -> member.entry().equals(entry))
        .map(Member::peerAddress)
        .findFirst();
  }

  private EntryAddresses boundAddresses() {
    return new EntryAddresses(
        settings.host() + ":" + server.activeLocalPort(),
        settings.host() + ":" + adminServer.port(),
        peerAddress());
  }

  private void addGauges() {
    metrics.gauge(
        "lavenderstage_sheet_version",
        "Version of the sheet.",
        () -> configuration.inForce().version());
    metrics.gauge(
        "lavenderstage_queued_requests", "Requests that wait.", () -> dispatcher.queuedCount());
    metrics.gauge(
        "lavenderstage_inflight_requests",
        "Requests at executors.",
        () -> dispatcher.inFlightCount());
    metrics.gauge("lavenderstage_open_claims", "Claims under way.", () -> claimGateway.openKeys());
    metrics.gauge("lavenderstage_live_entries", "Live entries.", this::liveEntryCount);
    metrics.gauge(
        "lavenderstage_log_lag_records",
        "Records that the log holds beyond this entry's copies.",
        streams::lag);
    EntryGauges.add(metrics, name, claimReplica, cells, streams.budget(), configSync);
  }

  private Member self() {
    return new Member(
        name,
        settings.vm(),
        settings.domain(),
        peerAddress(),
        configuration.inForce().version(),
        configReplica.read(stream -> stream.nextOffset()),
        configReplica.read(stream -> stream.stateMachine().digest()),
        draining);
  }

  private int otherEntryCount() {
    String ownAddress = peerAddress();
    return (int)
        directory.vms(VmRole.ENTRY).stream()
            .filter(vm -> !vm.leaving() && !vm.address().equals(ownAddress))
            .count();
  }

  private Optional<PeerMessage> handlePeer(PeerMessage message) {
    return switch (message) {
      case Heartbeat heartbeat -> {
        membership.recordHeartbeat(heartbeat);
        configSync.recordHeartbeat(heartbeat);
        yield Optional.empty();
      }
      case SheetQuery query -> Optional.of(configSync.answer(query));
      case SnapshotQuery query -> Optional.of(recovery.answer(query));
      case AnswerQuery query -> Optional.of(claimGateway.answer(query));
      default -> dispatcher.handlePeerMessage(message);
    };
  }

  /**
   * Returns whether this entry writes the snapshots: the first of the live entries by name does.
   */
  private boolean isSnapshotWriter() {
    return membership.live().get(0).entry().equals(name);
  }

  /**
   * Returns whether this entry accepts new work.
   *
   * @return whether its replicas are caught up, its VM list is read, its configuration is current,
   *     its dispatcher is ready and it is not draining
   */
  public boolean isReady() {
    return !draining
        && directory.isLoaded()
        && dispatcher.isReady()
        && configSync.isCurrent()
        && streams.isCaughtUp();
  }

  /**
   * Returns the addresses that this entry listens on.
   *
   * @return the addresses
   */
  public EntryAddresses addresses() {
    return addresses;
  }

  /**
   * Returns the state of this entry, without the tokens of the sheet.
   *
   * @return the state dump
   */
  public StateDump dump() {
    return new StateDump(
        name,
        settings.vm(),
        settings.domain(),
        isReady(),
        draining,
        configuration.inForce().version(),
        configSync.dump(),
        streams.dump(),
        cells.stream().map(StateDumps::of).toList(),
        membership.live(),
        directory.vms(),
        streams.budget().tokens(),
        dispatcher.queuedCount(),
        dispatcher.inFlightCount());
  }

  /** Reports unready and releases the cells, so that the process can be stopped once it is idle. */
  public void drain() {
    draining = true;
    EventLog.info(LogEvent.DRAIN_REQUESTED, "entry", name);
    owners.forEach(CellOwner::drain);
  }

  /** Stops gracefully: rejects new work, answers open requests and releases the cells. */
  @Override
  public void close() {
    draining = true;
    dispatcher.drain();
    EventLog.info(LogEvent.ENTRY_DRAINING, "entry", name);
    owners.forEach(CellOwner::drain);
    awaitIdle();
    server.stop().join();
    owners.forEach(CellOwner::close);
    closeComponents();
    EventLog.info(LogEvent.ENTRY_STOPPED, "entry", name);
  }

  private void awaitIdle() {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainMillis());
    try {
      TimeUnit.MILLISECONDS.sleep(settings.unreadyMillis());
      while (System.nanoTime() < deadlineNanos && hasOpenRequests()) {
        TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean hasOpenRequests() {
    return dispatcher.queuedCount() + dispatcher.inFlightCount() + claimGateway.openKeys() > 0;
  }

  /** Stops without answering open requests or releasing cells, as if the process were killed. */
  public void kill() {
    CompletableFuture<?> unused = server.closeAsync();
    owners.forEach(CellOwner::close);
    closeComponents();
  }

  private void closeComponents() {
    configSync.close();
    snapshots.close();
    recovery.close();
    membership.close();
    claimGateway.close();
    directory.close();
    dispatcher.close();
    clients.close();
    streams.close();
    peerServer.close();
    adminServer.close();
  }
}
